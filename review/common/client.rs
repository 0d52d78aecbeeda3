//! A client: one request on a new connection.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::common::http;

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The body came to the end that its length or its last chunk marks.
    Complete,
    /// The connection ended before that.
    BrokenOff,
    /// There was no head of an answer.
    NoAnswer,
}

/// An answer as the client has seen it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub message: http::Message,
    pub end: End,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub id: String,
    pub deadline_ms: u64,
    pub key: String,
    /// Further header lines.
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl Request {
    /// The bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            method,
            path,
            host,
            id,
            deadline_ms,
            key,
            headers,
            body,
        } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        );
        for header in headers {
            text.push_str(header);
            text.push_str("\r\n");
        }
        if *method != "GET" || !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Sends the request on a new connection and reads the answer, for half a second longer than the
    /// deadline at most.
    pub fn send(&self, addr: &str) -> Answer {
        let none = Answer {
            status: 0,
            message: http::Message::default(),
            end: End::NoAnswer,
        };
        let Ok(mut stream) = TcpStream::connect(addr) else {
            return none;
        };
        let limit = Duration::from_millis(self.deadline_ms + 500);
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.set_nodelay(true);
        if stream.write_all(&self.bytes()).is_err() {
            return none;
        }
        read_answer(&mut BufReader::new(stream)).unwrap_or(none)
    }
}

/// Reads an answer; none without a whole head.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut message = http::read_head(reader)?;
    let status = message.start.split(' ').nth(1)?.parse().ok()?;
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let len = message
        .header("content-length")
        .and_then(|len| len.parse::<usize>().ok());
    let mut body = Vec::new();
    let is_whole = if is_chunked {
        read_chunks(reader, &mut body).is_some()
    } else if let Some(len) = len {
        let mut limited = reader.take(len as u64);
        limited.read_to_end(&mut body).is_ok() && body.len() == len
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    message.body = body;
    Some(Answer {
        status,
        message,
        end: if is_whole {
            End::Complete
        } else {
            End::BrokenOff
        },
    })
}

/// Reads chunks up to the last one; none if the connection ends before it.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let line = http::read_line(reader)?;
        let len = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        if len == 0 {
            return http::read_line(reader).map(|_| ());
        }
        let mut chunk = vec![0; len];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk);
        http::read_line(reader)?;
    }
}
