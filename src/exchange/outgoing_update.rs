//! An update and its recipients.

use std::net::SocketAddr;

use crate::exchange::HostUpdate;

/// An update and its recipients.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingUpdate {
    /// The addresses of the recipients.
    pub recipients: Vec<SocketAddr>,
    /// The update to send.
    pub update: HostUpdate,
}
