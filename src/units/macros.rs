//! Macros that define newtypes of the same form.

/// Implements serialization as text through `Display` and `FromStr`.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Defines an id chosen by people: 1 to 128 characters out of `A-Z a-z 0-9 . _ : @ / -`.
macro_rules! name_newtype {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::units::ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if $crate::units::macros::is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::units::ParseUnitError::new($expected, text))
                }
            }
        }

        $crate::units::macros::serde_as_text!($name);
    };
}

/// Defines a random id of 128 bits, written as 32 hexadecimal digits.
macro_rules! random_id_newtype {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::units::ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = || $crate::units::ParseUnitError::new($expected, text);
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(error());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
            }
        }

        $crate::units::macros::serde_as_text!($name);
    };
}

/// Defines a newtype of a whole number, which serde represents as a number.
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::units::ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text.parse().map(Self);
                number.map_err(|_| $crate::units::ParseUnitError::new($expected, text))
            }
        }
    };
}

pub(crate) use name_newtype;
pub(crate) use number_newtype;
pub(crate) use random_id_newtype;
pub(crate) use serde_as_text;

const NAME_LEN_MAX: usize = 128;

pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:@/-".contains(&b);
    !text.is_empty() && text.len() <= NAME_LEN_MAX && text.bytes().all(allowed)
}

/// Parses a number of up to 16 hexadecimal digits without a sign.
pub(crate) fn parse_hex_u64(text: &str) -> Option<u64> {
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
