//! A serde deserializer for the text of one scalar, so that each field type parses its own text.

use serde::de::DeserializeOwned;
use serde::de::Error as _;
use serde::de::IntoDeserializer;
use serde::de::Visitor;
use serde::de::value::Error;
use serde::forward_to_deserialize_any;

/// Parses the text of a scalar as `T`: a number, a boolean, a string, an enum variant or a newtype.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    T::deserialize(Scalar(text))
}

/// The text of a scalar as a serde deserializer.
struct Scalar<'a>(&'a str);

impl Scalar<'_> {
    /// Parses a whole number. Its range is that of `u64`; the visitor of a smaller integer type
    /// rejects a number that the type can't hold.
    fn whole_number(&self) -> Result<u64, Error> {
        let number = self.0.parse();
        number.map_err(|_| Error::custom("expected a whole number, 0 or more, without a unit"))
    }
}

impl<'de> serde::Deserializer<'de> for Scalar<'_> {
    type Error = Error;

    /// Visits the text as a string, whatever it looks like, such as a number or `true`.
    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_str(self.0)
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            "true" => visitor.visit_bool(true),
            "false" => visitor.visit_bool(false),
            _ => Err(Error::custom("expected true or false")),
        }
    }

    fn deserialize_u8<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_u64(self.whole_number()?)
    }

    fn deserialize_u16<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_u64(self.whole_number()?)
    }

    fn deserialize_u32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_u64(self.whole_number()?)
    }

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_u64(self.whole_number()?)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.0
            .into_deserializer()
            .deserialize_enum(name, variants, visitor)
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i64 i128 u128 f32 f64 char str string bytes byte_buf option unit unit_struct
        seq tuple tuple_struct map struct identifier ignored_any
    }
}
