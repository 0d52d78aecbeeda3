//! Answers the hosts that ask.

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
use crate::gateway::catalog_sharing::message::Answer;
use crate::gateway::catalog_sharing::message::Ask;
use crate::gateway::catalog_sharing::message::Link;
use crate::gateway::catalog_sharing::message::MESSAGE_SIZE_MAX;
use crate::peer::framing;

/// A host that has not asked for this long has left without a word.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// The longest frame: a hundred hosts that get one each at a time over 200 Mbit/s wait 65 ms for the next.
const FRAME_LEN: usize = 16 << 10;
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
        let answer = gateway
            .catalog_cache
            .answer(&ask, gateway.clock.since_boot());
        let sent = if ask.takes_parts {
            send_in_frames(&mut framed, &answer).await
        } else {
            framed.send(Bytes::from(answer.encode_to_vec())).await
        };
        if let Err(err) = sent {
            debug!("share: a host left before its answer: {err}");
            return;
        }
    }
}

/// Sends an answer, a long one in several frames after one that says how many.
///
/// Failure it guards against: a manifest of half a megabyte goes to all hosts of a failure domain over one
/// link, which takes longer than a host waits for an answer; each of them reads the platform then, again
/// and again, and its own link is full of manifests. With frames a host waits as long as the answer goes on.
async fn send_in_frames(framed: &mut Link, answer: &Answer) -> Result<(), io::Error> {
    let bytes = Bytes::from(answer.encode_to_vec());
    if bytes.len() <= FRAME_LEN {
        return framed.send(bytes).await;
    }
    let frames = bytes.chunks(FRAME_LEN).len();
    let head = Answer {
        frames: u32::try_from(frames).unwrap_or(u32::MAX),
        ..Answer::default()
    };
    framed.send(Bytes::from(head.encode_to_vec())).await?;
    for at in (0..bytes.len()).step_by(FRAME_LEN) {
        let end = bytes.len().min(at + FRAME_LEN);
        framed.send(bytes.slice(at..end)).await?;
    }
    Ok(())
}
