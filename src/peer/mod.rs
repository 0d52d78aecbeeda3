//! The protocol between the hosts of the system: protobuf messages in frames over TCP.
//!
//! Two hosts authenticate each other by a handshake, after which every frame carries a tag.

mod addrs;
mod codec;
mod error;
mod frame_authenticator;
mod frame_error;
mod handshake;
mod keyring;
mod link;
pub mod message;
mod pool;
mod server;
mod token_bucket;
mod traffic;

use std::time::Duration;

use futures_util::future::BoxFuture;

pub use addrs::PeerAddrs;
pub use addrs::SeededAddrs;
pub use codec::EnvelopeCodec;
pub use codec::FRAME_OVERHEAD;
pub use codec::FRAME_SIZE_MAX;
pub(crate) use codec::framing;
pub use codec::wire_len;
pub use error::PeerError;
pub use frame_authenticator::FrameAuthenticator;
pub use frame_error::FrameError;
pub use keyring::Keyring;
pub use message::Message;
pub use pool::PeerPool;
pub use server::PeerServer;
pub use token_bucket::TokenBucket;
pub use traffic::Traffic;
pub use traffic::TrafficClass;

use crate::units::HostId;

/// A transport of messages to other hosts.
pub trait PeerTransport: Send + Sync {
    /// Queues a message without waiting for a reply. The message may be lost, and is dropped if the
    /// queue of the host is full.
    fn send(&self, to: &HostId, message: Message);

    /// Sends a message and waits for its reply, at most for `timeout`.
    fn request(
        &self,
        to: &HostId,
        message: Message,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Message, PeerError>>;
}

/// A handler of the messages of other hosts.
pub trait PeerHandler: Send + Sync {
    /// Handles one message of host `from`, and returns the reply. A request without a reply is
    /// answered by [`Message::Ack`].
    fn handle(&self, from: HostId, message: Message) -> BoxFuture<'_, Option<Message>>;
}
