//! The client side: requests lists from other hosts over a connection that it keeps open.

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

use crate::gateway::catalog_sharing::message::ListKind;
use crate::gateway::catalog_sharing::message::MESSAGE_SIZE_MAX;
use crate::gateway::catalog_sharing::message::PeerConnection;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::peer::framing;

/// Timeout of each frame of a response. A request inside a failure domain takes 1 to 2 ms, and
/// about 10 ms to a busy host.
const FRAME_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest number of frames of one response, eight times the number for a manifest of 1 MB. A host
/// that announces more is faulty, and reading its response would never end.
const FRAMES_MAX: u32 = 512;

/// A client that keeps a connection to one host at a time.
#[derive(Default)]
pub(super) struct ReadClient {
    connection: Option<(SocketAddr, PeerConnection)>,
}

impl ReadClient {
    /// Sends a request to a host and returns the response; none if the host does not respond in
    /// time or the response is invalid, after which the connection is closed.
    pub(super) async fn request(
        &mut self,
        addr: SocketAddr,
        request: &ReadRequest,
    ) -> Option<ReadResponse> {
        let response = self.try_request(addr, request).await;
        if response.is_none() {
            debug!("catalog sharing: no valid response from {addr}");
            self.connection = None;
        }
        response
    }

    /// Sends a request over the open connection, or over a new one if that is to another host.
    async fn try_request(
        &mut self,
        addr: SocketAddr,
        request: &ReadRequest,
    ) -> Option<ReadResponse> {
        if self
            .connection
            .as_ref()
            .is_none_or(|(connected, _)| *connected != addr)
        {
            let connected = timeout(FRAME_TIMEOUT, TcpStream::connect(addr)).await;
            let stream = connected.ok()?.ok()?;
            stream.set_nodelay(true).ok()?;
            self.connection = Some((addr, Framed::new(stream, framing(MESSAGE_SIZE_MAX))));
        }
        let (_, connection) = self.connection.as_mut()?;
        let sent = timeout(
            FRAME_TIMEOUT,
            connection.send(Bytes::from(request.encode_to_vec())),
        )
        .await;
        sent.ok()?.ok()?;
        let first = ReadResponse::decode(next_frame(connection).await?).ok()?;
        if first.frame_count == 0 {
            return Some(first);
        }
        if first.frame_count > FRAMES_MAX {
            warn!(
                "catalog sharing: {addr} announces a response of {} frames, more than {FRAMES_MAX}",
                first.frame_count
            );
            return None;
        }
        let mut buffer = BytesMut::new();
        for _ in 0..first.frame_count {
            buffer.extend_from_slice(&next_frame(connection).await?);
        }
        ReadResponse::decode(buffer).ok()
    }
}

/// Whether a host responds to a request for a list, whatever it has.
pub(crate) async fn is_responding(addr: SocketAddr) -> bool {
    let request = ReadRequest {
        list: ListKind::Evacuations.into(),
        known_version: 0,
        accepts_deltas: true,
        ..ReadRequest::default()
    };
    let response = ReadClient::default().request(addr, &request).await;
    response.is_some()
}

/// The next frame; none if it does not arrive within [`FRAME_TIMEOUT`] or the connection has ended.
async fn next_frame(connection: &mut PeerConnection) -> Option<BytesMut> {
    timeout(FRAME_TIMEOUT, connection.next()).await.ok()??.ok()
}
