//! Asks other hosts for their lists over a connection that is kept.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use log::warn;
use prost::Message as _;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::gateway::catalog_sharing::message::Answer;
use crate::gateway::catalog_sharing::message::Ask;
use crate::gateway::catalog_sharing::message::Link;
use crate::gateway::catalog_sharing::message::MESSAGE_SIZE_MAX;
use crate::peer::framing;

/// For each frame of an answer. A question inside a failure domain takes a millisecond or two, also to a
/// busy host some ten.
const FRAME_TIMEOUT: Duration = Duration::from_millis(200);

/// Frames of one answer: eight times those of a manifest of a megabyte. A host that announces more is broken,
/// and would be listened to without end.
const FRAMES_MAX: u32 = 512;

/// Asks one host at a time.
#[derive(Default)]
pub(super) struct ShareClient {
    link: Option<(SocketAddr, Link)>,
}

impl ShareClient {
    /// Asks a host; none if it does not answer.
    pub(super) async fn ask(&mut self, addr: SocketAddr, ask: &Ask) -> Option<Answer> {
        let answer = self.exchange(addr, ask).await;
        if answer.is_none() {
            debug!("share: {addr} does not answer");
            self.link = None;
        }
        answer
    }

    async fn exchange(&mut self, addr: SocketAddr, ask: &Ask) -> Option<Answer> {
        if self.link.as_ref().is_none_or(|(linked, _)| *linked != addr) {
            let connected = timeout(FRAME_TIMEOUT, TcpStream::connect(addr)).await;
            let stream = connected.ok()?.ok()?;
            stream.set_nodelay(true).ok()?;
            self.link = Some((addr, Framed::new(stream, framing(MESSAGE_SIZE_MAX))));
        }
        let (_, link) = self.link.as_mut()?;
        let asked = timeout(FRAME_TIMEOUT, link.send(Bytes::from(ask.encode_to_vec()))).await;
        asked.ok()?.ok()?;
        let head = Answer::decode(next_frame(link).await?).ok()?;
        if head.frames == 0 {
            return Some(head);
        }
        if head.frames > FRAMES_MAX {
            warn!("share: {addr} announces {} frames", head.frames);
            return None;
        }
        let mut whole = BytesMut::new();
        for _ in 0..head.frames {
            whole.extend_from_slice(&next_frame(link).await?);
        }
        Answer::decode(whole).ok()
    }
}

async fn next_frame(link: &mut Link) -> Option<BytesMut> {
    timeout(FRAME_TIMEOUT, link.next()).await.ok()??.ok()
}
