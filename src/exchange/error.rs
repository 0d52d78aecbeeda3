//! Errors of sending or receiving a datagram.

use std::fmt;
use std::io;

/// The reason why a datagram could not be sent or decoded.
#[derive(Debug)]
pub enum ExchangeError {
    /// An I/O error of the socket.
    Io(io::Error),
    /// The datagram does not hold a valid message.
    Decode(prost::DecodeError),
    /// The message does not fit into a datagram. The value is its length in bytes.
    TooLong(usize),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "datagram socket: {err}"),
            Self::Decode(err) => write!(f, "datagram is not a valid message: {err}"),
            Self::TooLong(len) => write!(f, "message of {len} bytes is too long for a datagram"),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl From<io::Error> for ExchangeError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

impl From<prost::DecodeError> for ExchangeError {
    fn from(err: prost::DecodeError) -> Self {
        Self::Decode(err)
    }
}
