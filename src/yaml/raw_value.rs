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
pub(crate) enum Raw {
    Null,
    Text(String),
    Guessed(String),
    Sequence(Vec<Spanned<Raw>>),
    Mapping(Vec<(Spanned<Raw>, Spanned<Raw>)>),
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Guessed(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut input: A) -> Result<Raw, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = input.next_element()? {
            items.push(item);
        }
        Ok(Raw::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut input: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = input.next_entry()? {
            entries.push(entry);
        }
        Ok(Raw::Mapping(entries))
    }
}
