//! Answers the hosts that ask.

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
use crate::gateway::share::message::Ask;
use crate::peer::framing;

/// The largest message: a manifest has at most about a megabyte.
pub(super) const MESSAGE_SIZE_MAX: usize = 8 << 20;
/// A host that has not asked for this long has left without a word.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// The pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers for as long as the process runs.
pub(crate) async fn serve_reads(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_one(Arc::clone(&gateway), stream));
            }
            Err(err) => {
                warn!("share: cannot accept: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one(gateway: Arc<Gateway>, stream: TcpStream) {
    let mut framed = Framed::new(stream, framing(MESSAGE_SIZE_MAX));
    while let Ok(Some(Ok(frame))) = timeout(IDLE_MAX, framed.next()).await {
        let ask = match Ask::decode(frame) {
            Ok(ask) => ask,
            Err(err) => {
                warn!("share: a question can't be read: {err}");
                return;
            }
        };
        let answer = gateway.held.answer(&ask, gateway.clock.since_boot());
        let answer = Bytes::from(answer.encode_to_vec());
        if let Err(err) = framed.send(answer).await {
            debug!("share: a host left before its answer: {err}");
            return;
        }
    }
}
