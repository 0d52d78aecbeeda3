//! What can be wrong with a frame.

use std::error::Error;
use std::fmt;
use std::io;

/// Why a connection between two hosts can't go on.
#[derive(Debug)]
pub enum FrameError {
    /// The connection broke, or a frame's length is above the bound.
    Io(io::Error),
    /// The frame can't hold a tag.
    TooShort,
    /// A message that is too large to be sent, with its size.
    TooLarge(usize),
    /// The tag is not the one that the session's key gives for this frame.
    WrongTag,
    /// The content is not an envelope.
    NotAnEnvelope(prost::DecodeError),
    /// The envelope names another sender than the handshake.
    WrongSender(String),
    /// A message that does not belong here, such as a reply to nothing.
    Unexpected(&'static str),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::TooShort => f.write_str("frame too short for a tag"),
            Self::TooLarge(size) => write!(f, "message of {size} bytes is too large"),
            Self::WrongTag => f.write_str("frame with a wrong tag"),
            Self::NotAnEnvelope(error) => write!(f, "frame without a message: {error}"),
            Self::WrongSender(name) => write!(f, "frame claims to be by {name}"),
            Self::Unexpected(what) => write!(f, "unexpected {what}"),
        }
    }
}

impl Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<prost::DecodeError> for FrameError {
    fn from(error: prost::DecodeError) -> Self {
        Self::NotAnEnvelope(error)
    }
}
