//! The errors of frames on a connection between two hosts.

use std::error::Error;
use std::fmt;
use std::io;

/// An error of reading or writing a frame. After any error but [`FrameError::TooLarge`] the
/// connection can't be used any longer.
#[derive(Debug)]
pub enum FrameError {
    /// The connection broke, or a frame is longer than the limit.
    Io(io::Error),
    /// The frame is too short to hold a tag.
    TooShort,
    /// The message is too large to be sent; its size is in bytes.
    TooLarge(usize),
    /// The tag does not match the frame under the key of the session.
    WrongTag,
    /// The payload is not an envelope.
    InvalidEnvelope(prost::DecodeError),
    /// The envelope names a sender other than the authenticated peer.
    WrongSender(String),
    /// Something that the protocol does not permit at this point, such as a request on the client
    /// side of a connection.
    Unexpected(&'static str),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::TooShort => f.write_str("frame too short for a tag"),
            Self::TooLarge(size) => write!(f, "message of {size} bytes is too large"),
            Self::WrongTag => f.write_str("frame with a wrong tag"),
            Self::InvalidEnvelope(error) => write!(f, "frame without a valid envelope: {error}"),
            Self::WrongSender(name) => write!(f, "frame names a wrong sender: {name}"),
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
        Self::InvalidEnvelope(error)
    }
}
