//! Provides tunnels to other hosts.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::future::pending;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use log::debug;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use prost::Message as _;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;

use crate::decide::DirectPath;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::ShutdownPhase;
use crate::gateway::catalog_sharing::PeerConnection;
use crate::gateway::catalog_sharing::ReadRequest;
use crate::gateway::catalog_sharing::ReadResponse;
use crate::gateway::send::CONNECT_TIMEOUT;
use crate::gateway::tunnel::TunnelGuard;
use crate::gateway::tunnel::TunnelOutcome;
use crate::gateway::tunnel::frame::FRAME_DATA_MAX;
use crate::gateway::tunnel::frame::TunnelFrame;
use crate::gateway::tunnel::frame::UpstreamEnd;
use crate::gateway::tunnel::stream::decode;
use crate::http::one_shot;
use crate::units::UpstreamId;

/// How long the other host may take to close a tunnel whose end was announced.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An upstream connection for another host.
struct TunnelEnd {
    stream: TcpStream,
    _counted: TunnelGuard,
}

/// Connects to the requested upstream, answers, and passes on what both sides send until one ends.
pub(crate) async fn serve_tunnel(
    gateway: Arc<Gateway>,
    mut framed: PeerConnection,
    request: &ReadRequest,
) {
    let opened = open(&gateway, &request.tunnel_to).await;
    let outcome = opened.as_ref().err().copied();
    let outcome = outcome.unwrap_or(TunnelOutcome::Connected);
    gateway.metrics.record_tunnel("provided", outcome.name());
    let response = ReadResponse {
        tunnel: outcome.into(),
        is_framed: request.accepts_frames,
        ..ReadResponse::default()
    };
    if let Err(err) = answer(&mut framed, &response).await {
        debug!("tunnel: cannot answer: {err}");
        return;
    }
    if let Ok(TunnelEnd { stream, _counted }) = opened {
        if request.accepts_frames {
            pass_on_frames(framed, stream).await;
        } else {
            pass_on_bytes(framed.into_inner(), stream).await;
        }
    }
}

/// Sends the answer on a connection that from now on is closed if the other host no longer
/// acknowledges data.
async fn answer(framed: &mut PeerConnection, response: &ReadResponse) -> io::Result<()> {
    one_shot::set_socket_options(framed.get_ref())?;
    framed.send(Bytes::from(response.encode_to_vec())).await
}

/// Connects to an upstream, unless this host knows that it must not or cannot.
async fn open(gateway: &Gateway, upstream: &str) -> Result<TunnelEnd, TunnelOutcome> {
    let id = upstream.parse::<UpstreamId>();
    let id = id.map_err(|_| TunnelOutcome::Unavailable)?;
    if gateway.phase() != ShutdownPhase::Serving {
        return Err(TunnelOutcome::Busy);
    }
    let counted = gateway.tunnels.try_open();
    let counted = counted.ok_or(TunnelOutcome::Busy)?;
    let listed = find_available(gateway, &id).ok_or(TunnelOutcome::Unavailable)?;
    let now = gateway.clock.now();
    match gateway.paths().direct_path(&id, now) {
        DirectPath::Usable => {}
        DirectPath::InDoubt => return Err(TunnelOutcome::Isolated),
        DirectPath::Lost => return Err(TunnelOutcome::NoPath),
    }
    if !gateway.health().is_reachable(&id, &listed.domain, now) {
        return Err(unreachable_outcome(gateway));
    }
    match one_shot::connect(listed.addr, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            gateway.on_path_connected(&id);
            Ok(TunnelEnd {
                stream,
                _counted: counted,
            })
        }
        Err(_) => {
            gateway.paths().on_failed(&id, gateway.clock.now());
            Err(unreachable_outcome(gateway))
        }
    }
}

/// The answer if this host cannot connect to the upstream.
fn unreachable_outcome(gateway: &Gateway) -> TunnelOutcome {
    let now = gateway.clock.now();
    let paths = gateway.paths();
    if paths.is_isolated(now) {
        TunnelOutcome::Isolated
    } else if paths.is_witness(now) {
        TunnelOutcome::Unreachable
    } else {
        TunnelOutcome::NoPath
    }
}

/// The upstream with this id, if this host might send requests to it.
fn find_available(gateway: &Gateway, id: &UpstreamId) -> Option<ListedUpstream> {
    let now = gateway.clock.now();
    if !gateway.availability().is_available(id, now) {
        return None;
    }
    gateway.find_listed(id)
}

/// Passes on the frames of the other host and the bytes of the upstream until one side ends, and
/// announces the end of the upstream.
async fn pass_on_frames(framed: PeerConnection, upstream: TcpStream) {
    let (mut host_wtr, mut host_rdr) = framed.split();
    let (mut upstream_rdr, mut upstream_wtr) = upstream.into_split();
    let mut has_failed = false;
    let end = tokio::select! {
        // The other host ends a tunnel only when it wants no more of the response.
        () = copy_frames(&mut host_rdr, &mut upstream_wtr, &mut has_failed) => return,
        end = copy_to_frames(&mut upstream_rdr, &mut host_wtr) => end,
    };
    let Some(mut end) = end else {
        return;
    };
    // The write has taken the error of the connection, so that its reset looks like an end to the reader.
    if has_failed {
        end = UpstreamEnd::Broken;
    }
    if let Err(err) = send_frame(&mut host_wtr, &TunnelFrame::of_end(end)).await {
        debug!("tunnel: cannot announce the end of the upstream: {err}");
        return;
    }
    // A connection that is closed with unread data is reset, which may overtake the last frames.
    let closed = async { while let Some(Ok(_)) = host_rdr.next().await {} };
    if timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        debug!("tunnel: the other host has not closed a tunnel that has ended");
    }
}

/// Passes on the frames of the other host until it closes the tunnel. `has_failed` is set if the upstream
/// does not take them.
async fn copy_frames(
    rdr: &mut SplitStream<PeerConnection>,
    wtr: &mut OwnedWriteHalf,
    has_failed: &mut bool,
) {
    while let Some(Ok(frame)) = rdr.next().await {
        let sent = match decode(frame) {
            Ok(frame) => wtr.write_all(&frame.data).await,
            Err(err) => Err(err),
        };
        if let Err(err) = sent {
            debug!("tunnel: cannot pass on a request: {err}");
            *has_failed = true;
            // What the upstream has sent before it closed its connection is still passed on.
            return pending().await;
        }
    }
}

/// Passes on the bytes of the upstream, and returns how its connection has ended; none if the tunnel
/// has ended first.
async fn copy_to_frames(
    rdr: &mut OwnedReadHalf,
    wtr: &mut SplitSink<PeerConnection, Bytes>,
) -> Option<UpstreamEnd> {
    let mut buffer = BytesMut::with_capacity(FRAME_DATA_MAX);
    loop {
        buffer.reserve(FRAME_DATA_MAX);
        match rdr.read_buf(&mut buffer).await {
            Ok(0) => return Some(UpstreamEnd::Closed),
            Ok(_) => {}
            Err(err) => {
                debug!("tunnel: the upstream has broken the connection: {err}");
                return Some(UpstreamEnd::Broken);
            }
        }
        let frame = TunnelFrame::of_data(buffer.split().freeze());
        if let Err(err) = send_frame(wtr, &frame).await {
            debug!("tunnel: the other host has left: {err}");
            return None;
        }
    }
}

async fn send_frame(
    wtr: &mut SplitSink<PeerConnection, Bytes>,
    frame: &TunnelFrame,
) -> io::Result<()> {
    wtr.send(Bytes::from(frame.encode_to_vec())).await
}

/// Passes on bytes in both directions until one side ends, for a host of an earlier version. It sees
/// the end of the upstream as if they were connected directly: only a regular end closes the
/// connection, and any other end, also that of this process, resets it.
async fn pass_on_bytes(mut host: TcpStream, mut upstream: TcpStream) {
    if let Err(err) = set_reset_on_close(&host, true) {
        debug!("tunnel: cannot set the options of a connection: {err}");
        return;
    }
    let (mut host_rd, mut host_wr) = host.split();
    let (mut upstream_rd, mut upstream_wr) = upstream.split();
    let ended = tokio::select! {
        _ = copy(&mut host_rd, &mut upstream_wr) => return,
        ended = copy_response(&mut upstream_rd, &mut host_wr) => ended,
    };
    let ended = ended.and_then(|()| set_reset_on_close(&host, false));
    if let Err(err) = ended {
        debug!("tunnel: the upstream has broken the connection: {err}");
    }
}

/// Passes on the bytes of the upstream, and its regular end.
async fn copy_response(rdr: &mut ReadHalf<'_>, wtr: &mut WriteHalf<'_>) -> io::Result<()> {
    copy(rdr, wtr).await?;
    wtr.shutdown().await
}

/// Sets whether the kernel resets the connection when it is closed.
fn set_reset_on_close(stream: &TcpStream, is_reset: bool) -> io::Result<()> {
    let linger = nix::libc::linger {
        l_onoff: i32::from(is_reset),
        l_linger: 0,
    };
    setsockopt(stream, sockopt::Linger, &linger)?;
    Ok(())
}
