//! A message and where it goes.

use std::net::SocketAddr;

use crate::exchange::HostUpdate;

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receivers.
    pub to: Vec<SocketAddr>,
    /// The message.
    pub news: HostUpdate,
}
