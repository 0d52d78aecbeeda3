//! The server side: responds to hosts that request lists.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use log::warn;
use prost::Message as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::gateway::Gateway;
use crate::gateway::catalog_sharing::message::MESSAGE_SIZE_MAX;
use crate::gateway::catalog_sharing::message::PeerConnection;
use crate::gateway::catalog_sharing::message::ReadRequest;
use crate::gateway::catalog_sharing::message::ReadResponse;
use crate::gateway::tunnel::serve_tunnel;
use crate::peer::framing;

/// Time without a request after which a connection is closed, since the host at its other end has
/// left without closing it.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// Largest frame of a response in bytes. If a hundred hosts receive one frame each over 200 Mbit/s,
/// the next one arrives after 65 ms.
const FRAME_SIZE_MAX: usize = 16 << 10;
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other hosts and responds to their requests for as long as the process
/// runs.
pub(crate) async fn serve_reads(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&gateway), stream));
            }
            Err(err) => {
                warn!("catalog sharing: cannot accept a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Responds to the requests of one connection until it ends, is idle for [`IDLE_MAX`], or carries
/// an invalid request.
async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    let mut framed = Framed::new(stream, framing(MESSAGE_SIZE_MAX));
    while let Ok(Some(Ok(frame))) = timeout(IDLE_MAX, framed.next()).await {
        let request = match ReadRequest::decode(frame) {
            Ok(request) => request,
            Err(err) => {
                warn!("catalog sharing: cannot decode a request: {err}");
                return;
            }
        };
        if !request.tunnel_to.is_empty() {
            serve_tunnel(gateway, framed, &request).await;
            return;
        }
        let response = gateway
            .catalog_cache
            .respond(&request, gateway.clock.since_boot());
        let sent = if request.accepts_deltas {
            send_in_frames(&mut framed, &response).await
        } else {
            framed.send(Bytes::from(response.encode_to_vec())).await
        };
        if let Err(err) = sent {
            debug!("catalog sharing: cannot send a response: {err}");
            return;
        }
    }
}

/// Sends a response. A long one is sent in several frames, after a first frame that announces their
/// number.
///
/// A manifest of half a megabyte that all hosts of a failure domain get over one link takes longer
/// than a host waits for one frame. Sent in a single frame, it would make each of them read the
/// platform again and again, and their links would be full of manifests. With several frames, a
/// host waits for as long as the response makes progress.
async fn send_in_frames(
    framed: &mut PeerConnection,
    response: &ReadResponse,
) -> Result<(), io::Error> {
    let bytes = Bytes::from(response.encode_to_vec());
    if bytes.len() <= FRAME_SIZE_MAX {
        return framed.send(bytes).await;
    }
    let frame_count = bytes.chunks(FRAME_SIZE_MAX).len();
    let first = ReadResponse {
        frame_count: u32::try_from(frame_count).unwrap_or(u32::MAX),
        ..ReadResponse::default()
    };
    framed.send(Bytes::from(first.encode_to_vec())).await?;
    for start in (0..bytes.len()).step_by(FRAME_SIZE_MAX) {
        let end = bytes.len().min(start + FRAME_SIZE_MAX);
        framed.send(bytes.slice(start..end)).await?;
    }
    Ok(())
}
