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
