//! The protocol between the system's own processes: framed protobuf over TCP.

mod error;
pub mod message;

use std::time::Duration;

use futures_util::future::BoxFuture;

pub use error::PeerError;
pub use message::Message;

use crate::units::HostId;

/// Other hosts, as something to send messages to.
pub trait Peers: Send + Sync {
    /// Sends a message without waiting; it may be lost.
    fn send(&self, to: &HostId, message: Message);

    /// Sends a message and waits for its reply.
    fn request(
        &self,
        to: &HostId,
        message: Message,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Message, PeerError>>;
}

/// What takes in the messages of other hosts.
pub trait PeerHandler: Send + Sync {
    /// Handles one message; the reply, if any, goes back to the sender.
    fn handle(&self, from: HostId, message: Message) -> BoxFuture<'_, Option<Message>>;
}
