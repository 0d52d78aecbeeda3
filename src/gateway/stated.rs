//! A value that an upstream may state in a header of its response.

/// A value in a header of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// The response lacks the header.
    #[default]
    Absent,
    /// The value.
    Value(T),
    /// The header is not valid. Contains the start of its text.
    Malformed(String),
}

impl<T> Stated<T> {
    /// Converts the value, if there is one.
    pub fn and_then<U>(self, convert: impl FnOnce(T) -> Stated<U>) -> Stated<U> {
        match self {
            Self::Absent => Stated::Absent,
            Self::Value(value) => convert(value),
            Self::Malformed(text) => Stated::Malformed(text),
        }
    }
}
