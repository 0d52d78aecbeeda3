//! A client that sends what it likes, and an ordinary one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use banyanarch_platform::stand_in::CallerHead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call;
use crate::call::CallClass;
use crate::crowd_kind::CrowdKind;

/// How long a client waits until the host reads on, before it counts as having stopped.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);
/// The pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// The bytes of a head that has no end.
const HEAD_LEN: usize = 60 << 10;
/// How long an ordinary client waits for its answer.
const ANSWER_PATIENCE: Duration = Duration::from_secs(10);

/// The head of a request to a plain service, with its end.
fn request_head(request: &str, class: CallClass, key: &str, framing: &str) -> String {
    let head = CallerHead {
        request,
        deadline: class.timeout(),
        key,
        tokens: class.tokens(),
        prompt_parts: None,
    };
    let headers = head.headers();
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
    let lines: String = lines.collect();
    let (route, host) = (class.route_name(), call::HOSTNAME);
    format!("POST /{route}/x HTTP/1.1\r\nhost: {host}\r\n{lines}{framing}\r\n\r\n")
}

/// Sends what a client of this kind sends, until it is done, the host closes the connection or reads no
/// further. Returns the connection, which is still open unless the host has closed it.
pub(crate) async fn send(
    kind: CrowdKind,
    host: SocketAddr,
    request: &str,
    key: &str,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(host).await?;
    let framing = match kind.announced_len() {
        Some(len) => format!("content-length: {len}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    let head = request_head(request, CallClass::Idempotent, key, &framing);
    match kind {
        CrowdKind::Silent => {}
        CrowdKind::Head => {
            let without_end = &head[..head.len() - 4];
            let padding = "x".repeat(HEAD_LEN);
            let head = format!("{without_end}\r\npadding: {padding}");
            write(&mut stream, head.as_bytes()).await;
        }
        _ => {
            if write(&mut stream, head.as_bytes()).await {
                send_body(kind, &mut stream).await;
            }
        }
    }
    Ok(stream)
}

/// Sends a body without its end.
async fn send_body(kind: CrowdKind, stream: &mut TcpStream) {
    let piece_len = kind.piece_len();
    let piece = piece(kind, piece_len);
    // Many small chunks are written together.
    let pieces_per_write = (4 << 10) / piece_len.min(4 << 10);
    let mut sent_len = 0;
    while sent_len < kind.sent_len() {
        let left = kind.sent_len() - sent_len;
        let is_written = if left >= piece_len * pieces_per_write {
            sent_len += piece_len * pieces_per_write;
            write(stream, &piece.repeat(pieces_per_write)).await
        } else {
            sent_len = kind.sent_len();
            write(stream, &self::piece(kind, left)).await
        };
        if !is_written {
            return;
        }
        if kind == CrowdKind::Pieces {
            sleep(PIECE_PAUSE).await;
        }
    }
}

/// A piece of a body: a chunk, if it is chunked.
fn piece(kind: CrowdKind, len: usize) -> Vec<u8> {
    let bytes = vec![b'x'; len];
    if kind.announced_len().is_some() {
        return bytes;
    }
    let mut chunk = format!("{len:x}\r\n").into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    chunk
}

/// Writes all bytes. Returns whether the host has taken them.
async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    let written = timeout(WRITE_PATIENCE, stream.write_all(bytes)).await;
    matches!(written, Ok(Ok(())))
}

/// Sends a request with a body of this length on a new connection. Returns the status of the answer.
pub(crate) async fn call(
    host: SocketAddr,
    request: &str,
    key: &str,
    body_len: usize,
) -> io::Result<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(host).await?;
        let framing = format!("connection: close\r\ncontent-length: {body_len}");
        let head = request_head(request, CallClass::Idempotent, key, &framing);
        stream.write_all(head.as_bytes()).await?;
        // The host may answer before it has read the body.
        let written = stream.write_all(&vec![b'x'; body_len]).await;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        match status(&answer) {
            Some(status) => Ok(status),
            None => {
                read.and(written)?;
                Err(io::Error::from(io::ErrorKind::UnexpectedEof))
            }
        }
    };
    timeout(ANSWER_PATIENCE, exchange).await?
}

fn status(answer: &[u8]) -> Option<u16> {
    let head = String::from_utf8_lossy(answer);
    head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}
