//! Requests a tunnel from another host.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message as _;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::gateway::catalog_sharing::MESSAGE_SIZE_MAX;
use crate::gateway::catalog_sharing::ReadRequest;
use crate::gateway::catalog_sharing::ReadResponse;
use crate::gateway::send::CONNECT_TIMEOUT;
use crate::gateway::tunnel::TunnelOutcome;
use crate::gateway::tunnel::TunnelStatus;
use crate::gateway::tunnel::stream::bare_stream;
use crate::gateway::tunnel::stream::framed_stream;
use crate::http::BoxedByteStream;
use crate::http::one_shot;
use crate::peer::framing;
use crate::units::UpstreamId;

/// How long the other host may take in addition to its own attempt to connect to the upstream.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Why there is no tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// The host cannot be reached, or did not respond as expected.
    HostFailed(String),
    /// The host provides no tunnel to this upstream now.
    Refused(TunnelOutcome),
}

impl TunnelError {
    /// The name of the error in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::HostFailed(_) => "host_failed",
            Self::Refused(outcome) => outcome.name(),
        }
    }
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostFailed(why) => f.write_str(why),
            Self::Refused(outcome) => f.write_str(outcome.name()),
        }
    }
}

impl std::error::Error for TunnelError {}

/// Opens a tunnel to an upstream through the host at `addr`. Returns the connection that it carries,
/// and its status.
pub(crate) async fn open_tunnel(
    addr: SocketAddr,
    upstream: &UpstreamId,
) -> Result<(BoxedByteStream, TunnelStatus), TunnelError> {
    let failed = |err: &dyn fmt::Display| TunnelError::HostFailed(err.to_string());
    let stream = one_shot::connect(addr, CONNECT_TIMEOUT).await;
    let stream = stream.map_err(|err| failed(&err))?;
    let mut framed = Framed::new(stream, framing(MESSAGE_SIZE_MAX));
    let request = ReadRequest::for_tunnel(upstream);
    let sent = framed.send(Bytes::from(request.encode_to_vec())).await;
    sent.map_err(|err| failed(&err))?;
    let answer = timeout(CONNECT_TIMEOUT + ANSWER_MARGIN, framed.next()).await;
    let frame = match answer {
        Err(_) => return Err(failed(&"no answer in time")),
        Ok(None) => return Err(failed(&"connection closed")),
        Ok(Some(frame)) => frame.map_err(|err| failed(&err))?,
    };
    let response = ReadResponse::decode(frame).map_err(|err| failed(&err))?;
    let status = TunnelStatus::default();
    match response.tunnel() {
        TunnelOutcome::Connected if response.is_framed => {
            Ok((framed_stream(framed, status.clone()), status))
        }
        // The upstream sends nothing before the request, so no byte of it has been read here.
        TunnelOutcome::Connected => {
            let stream = bare_stream(framed.into_inner(), status.clone());
            Ok((stream, status))
        }
        outcome => Err(TunnelError::Refused(outcome)),
    }
}
