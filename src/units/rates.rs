//! Rates per second.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::units::ParseUnitError;
use crate::units::Tokens;
use crate::units::seconds;

/// Defines a rate: a finite, non-negative number followed by a unit.
macro_rules! rate_newtype {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        pub struct $name(pub f64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text.strip_suffix($unit).and_then(|number| number.trim().parse().ok());
                match number {
                    Some(number) if f64::is_finite(number) && number >= 0.0 => Ok(Self(number)),
                    _ => Err(ParseUnitError::new($expected, text)),
                }
            }
        }

        crate::units::macros::serde_as_text!($name);
    };
}

rate_newtype!(
    /// A rate in tokens per second.
    TokensPerSecond,
    "tok/s",
    "a rate like 8000tok/s"
);
rate_newtype!(
    /// A rate in requests per second.
    RequestsPerSecond,
    "req/s",
    "a rate like 20req/s"
);

impl RequestsPerSecond {
    /// The rate; none if the number is negative or not finite.
    pub fn checked(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }
}

impl TokensPerSecond {
    /// The time that `tokens` take at this rate; `Duration::MAX` at a rate of 0.
    pub fn time_for(self, tokens: Tokens) -> Duration {
        seconds(tokens.as_f64() / self.0)
    }
}
