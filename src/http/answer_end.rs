//! Where a response ends whose head announces a length, and what follows.

use bytes::Buf;
use bytes::BytesMut;
use httparse::EMPTY_HEADER;
use httparse::Status;

use crate::http::AnswerError;

/// The number of fields of a head that are read; of a head with more, the HTTP library says that it is none.
const FIELDS_MAX: usize = 100;
/// The beginning of a response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// What has been read of a response.
#[derive(Debug)]
enum Progress {
    /// A part of its head, or of an interim one.
    Head(BytesMut),
    /// The head, and the body but for this number of bytes.
    Body(u64),
    /// All of it, and this number of bytes of a further response.
    Next(usize),
    /// The end is not known from the head alone.
    Unknown,
}

/// Finds bytes behind the end that the head of a response announces. Servers may send a second response,
/// which nobody has asked for; anything else shows that the length is not that of the body.
#[derive(Debug)]
pub(super) struct AnswerEnd(Progress);

impl Default for AnswerEnd {
    fn default() -> Self {
        Self(Progress::Head(BytesMut::new()))
    }
}

impl AnswerEnd {
    /// Checks bytes that were read. An error means that they lie behind the end of the response.
    pub(super) fn on_bytes(&mut self, mut bytes: &[u8]) -> Result<(), AnswerError> {
        while !bytes.is_empty() {
            match &mut self.0 {
                Progress::Head(head) => {
                    head.extend_from_slice(bytes);
                    let Some(progress) = after_head(head) else {
                        return Ok(());
                    };
                    let rest = head.split().freeze();
                    self.0 = progress;
                    return self.on_bytes(&rest);
                }
                Progress::Body(left) => {
                    let read = usize::try_from(*left)
                        .unwrap_or(usize::MAX)
                        .min(bytes.len());
                    bytes.advance(read);
                    *left -= read as u64;
                    if *left == 0 {
                        self.0 = Progress::Next(0);
                    }
                }
                Progress::Next(read) => {
                    let byte = bytes.get_u8();
                    let is_line_end = *read == 0 && matches!(byte, b'\r' | b'\n');
                    if is_line_end {
                        continue;
                    }
                    if byte != RESPONSE_START[*read] {
                        return Err(AnswerError::BytesAfterEnd);
                    }
                    *read += 1;
                    if *read == RESPONSE_START.len() {
                        self.0 = Progress::Unknown;
                    }
                }
                Progress::Unknown => return Ok(()),
            }
        }
        Ok(())
    }
}

/// Removes the heads of interim responses and of the final one from these bytes; none if the final one is
/// not complete. What cannot be read is left to the HTTP library.
fn after_head(read: &mut BytesMut) -> Option<Progress> {
    loop {
        let mut fields = [EMPTY_HEADER; FIELDS_MAX];
        let mut head = httparse::Response::new(&mut fields);
        let (len, status, body_len) = match head.parse(read) {
            Ok(Status::Complete(len)) => (len, head.code.unwrap_or(0), announced_len(&head)),
            Ok(Status::Partial) => return None,
            Err(_) => return Some(Progress::Unknown),
        };
        read.advance(len);
        return Some(match (status, body_len) {
            (101 | 204 | 304, _) => Progress::Unknown,
            (100..200, _) => continue,
            (_, Some(0)) => Progress::Next(0),
            (_, Some(len)) => Progress::Body(len),
            (_, None) => Progress::Unknown,
        });
    }
}

/// The length of the body; none if the head announces none, or another framing.
fn announced_len(head: &httparse::Response<'_, '_>) -> Option<u64> {
    let has = |name: &str| {
        head.headers
            .iter()
            .any(|field| field.name.eq_ignore_ascii_case(name))
    };
    if has("transfer-encoding") {
        return None;
    }
    let mut fields = head.headers.iter();
    let length = fields.find(|field| field.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(length.value).ok()?.trim().parse().ok()
}
