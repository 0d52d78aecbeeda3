//! A message and where it goes.

use std::net::SocketAddr;

use crate::exchange::HostUpdate;

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingUpdate {
    /// The receivers.
    pub recipients: Vec<SocketAddr>,
    /// The message.
    pub update: HostUpdate,
}
