//! A YAML value as the parser hands it over.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// A value as the parser hands it over. A plain scalar comes as what the parser takes it for; its
/// text is then cut out of the file.
pub(crate) enum RawValue {
    Null,
    Text(String),
    Inferred(String),
    Sequence(Vec<Spanned<RawValue>>),
    Mapping(Vec<(Spanned<RawValue>, Spanned<RawValue>)>),
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(RawVisitor)
    }
}

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
