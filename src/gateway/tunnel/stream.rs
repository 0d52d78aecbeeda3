//! The connection to an upstream that a tunnel carries.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::SplitStream;
use log::debug;
use prost::Message as _;
use tokio::io::join;
use tokio::net::TcpStream;
use tokio_util::io::CopyToBytes;
use tokio_util::io::ReaderStream;
use tokio_util::io::SinkWriter;
use tokio_util::io::StreamReader;

use crate::gateway::catalog_sharing::PeerConnection;
use crate::gateway::tunnel::TunnelStatus;
use crate::gateway::tunnel::failure::TunnelFailure;
use crate::gateway::tunnel::frame::FRAME_DATA_MAX;
use crate::gateway::tunnel::frame::TunnelFrame;
use crate::gateway::tunnel::frame::UpstreamEnd;
use crate::http::BoxedByteStream;

/// The connection to an upstream over a tunnel of frames. It ends only with the end that the
/// providing host announces.
pub(crate) fn framed_stream(framed: PeerConnection, status: TunnelStatus) -> BoxedByteStream {
    let (wtr, rdr) = framed.split();
    let bytes = stream::unfold((rdr, status), async |(mut rdr, status)| {
        let bytes = next_bytes(&mut rdr, &status).await?;
        Some((bytes, (rdr, status)))
    });
    let frames = wtr.with_flat_map(|data: Bytes| stream::iter(frames_of(data)));
    let rdr = StreamReader::new(bytes.boxed());
    let wtr = SinkWriter::new(CopyToBytes::new(Box::pin(frames)));
    Box::new(join(rdr, wtr))
}

/// The next bytes of the upstream; none once it has closed its connection.
async fn next_bytes(
    rdr: &mut SplitStream<PeerConnection>,
    status: &TunnelStatus,
) -> Option<io::Result<Bytes>> {
    let frame = match rdr.next().await {
        Some(Ok(frame)) => decode(frame),
        Some(Err(err)) => Err(err),
        None => return Some(Err(lost(status))),
    };
    match frame {
        Ok(frame) => match frame.end() {
            UpstreamEnd::Open => Some(Ok(frame.data)),
            UpstreamEnd::Closed => None,
            UpstreamEnd::Broken => Some(Err(TunnelFailure::UpstreamBroken.into())),
        },
        Err(err) => {
            debug!("tunnel: cannot read from the other host: {err}");
            Some(Err(lost(status)))
        }
    }
}

/// The encoded frames that carry these bytes.
fn frames_of(mut data: Bytes) -> Vec<io::Result<Bytes>> {
    let mut frames = Vec::with_capacity(data.len().div_ceil(FRAME_DATA_MAX));
    while !data.is_empty() {
        let part = data.split_to(data.len().min(FRAME_DATA_MAX));
        let frame = TunnelFrame::of_data(part).encode_to_vec();
        frames.push(Ok(Bytes::from(frame)));
    }
    frames
}

/// Decodes a frame of a tunnel.
pub(super) fn decode(frame: BytesMut) -> io::Result<TunnelFrame> {
    TunnelFrame::decode(frame.freeze()).map_err(io::Error::other)
}

/// The connection to an upstream through a host of an earlier version, which passes on bare bytes
/// and cannot announce an end: only what the response itself shows to be complete is.
pub(crate) fn bare_stream(tunnel: TcpStream, status: TunnelStatus) -> BoxedByteStream {
    let (rdr, wtr) = tunnel.into_split();
    let end = stream::once(async move { Err(lost(&status)) });
    let bytes = ReaderStream::new(rdr).chain(end);
    Box::new(join(StreamReader::new(bytes.boxed()), wtr))
}

/// The error of a connection whose tunnel has ended.
fn lost(status: &TunnelStatus) -> io::Error {
    status.set_lost();
    TunnelFailure::TunnelLost.into()
}
