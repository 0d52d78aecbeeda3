//! What can come of a message to another host.

use std::error::Error;
use std::fmt;

/// Why a peer did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No address is known for the host.
    UnknownHost,
    /// It could not be connected to; the message did not leave.
    Unreachable(String),
    /// The connection broke or nothing came in time; the message may have arrived.
    NoReply,
    /// A frame that is too large, of an unknown kind, or not by an authenticated peer.
    BadFrame(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownHost => f.write_str("peer: no such host"),
            Self::Unreachable(why) => write!(f, "peer unreachable: {why}"),
            Self::NoReply => f.write_str("peer gave no answer"),
            Self::BadFrame(why) => write!(f, "peer sent a bad frame: {why}"),
        }
    }
}

impl Error for PeerError {}
