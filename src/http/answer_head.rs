//! What the head of a response must say so that its end is clear.
//!
//! The HTTP library takes a body with an unknown transfer encoding for one that ends with its
//! connection, and ignores a length beside chunks.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use crate::http::AnswerError;

/// The only transfer encoding that is read.
const CHUNKED: &str = "chunked";
/// The statuses of final responses.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Checks the head of a final response.
pub(crate) fn check_answer_head(
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), AnswerError> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(AnswerError::Status(status.as_u16()));
    }
    let codings = headers.get_all(TRANSFER_ENCODING).iter();
    let codings = codings.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    let codings: Vec<String> = codings.collect();
    match codings.as_slice() {
        [] => Ok(()),
        [coding] if !coding.eq_ignore_ascii_case(CHUNKED) => {
            Err(AnswerError::TransferEncoding(coding.clone()))
        }
        [_] if headers.contains_key(CONTENT_LENGTH) => Err(AnswerError::LengthBesideChunks),
        [_] => Ok(()),
        several => Err(AnswerError::TransferEncoding(several.join(", "))),
    }
}
