//! The errors of requests to other hosts.

use std::error::Error;
use std::fmt;

/// Why a request to a peer got no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No address is known for the host.
    UnknownHost,
    /// No connection to the host could be made, or its queue is full; the message was not sent.
    Unreachable(String),
    /// The connection broke or no reply came in time; the message may have arrived.
    NoReply,
    /// The message does not fit into a frame; it was not sent.
    MessageTooLarge(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownHost => f.write_str("peer: no address is known for the host"),
            Self::Unreachable(why) => write!(f, "peer unreachable: {why}"),
            Self::NoReply => f.write_str("no reply from the peer"),
            Self::MessageTooLarge(why) => write!(f, "peer: message not sent: {why}"),
        }
    }
}

impl Error for PeerError {}
