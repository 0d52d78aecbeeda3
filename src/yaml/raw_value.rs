//! A YAML value as the parser returns it.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// A value as the parser returns it. The parser infers the type of a plain scalar and converts it;
/// the original text is taken from the file afterwards.
pub(crate) enum RawValue {
    Null,
    /// A scalar that the parser returned as a string.
    Text(String),
    /// A scalar that the parser converted to a boolean or a number, formatted as text again.
    Inferred(String),
    Sequence(Vec<Spanned<RawValue>>),
    Mapping(Vec<(Spanned<RawValue>, Spanned<RawValue>)>),
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(RawVisitor)
    }
}

/// Builds a [`RawValue`]. Booleans and numbers become [`RawValue::Inferred`] texts.
struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::Inferred(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut input: A) -> Result<RawValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = input.next_element()? {
            items.push(item);
        }
        Ok(RawValue::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut input: A) -> Result<RawValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = input.next_entry()? {
            entries.push(entry);
        }
        Ok(RawValue::Mapping(entries))
    }
}
