//! Peers of a host that has none.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::peer::Message;
use crate::peer::PeerError;
use crate::peer::Peers;
use crate::units::HostId;

/// Reaches nobody.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoPeers;

impl Peers for NoPeers {
    fn send(&self, _: &HostId, _: Message) {}

    fn request(
        &self,
        _: &HostId,
        _: Message,
        _: Duration,
    ) -> BoxFuture<'_, Result<Message, PeerError>> {
        async { Err(PeerError::UnknownHost) }.boxed()
    }
}
