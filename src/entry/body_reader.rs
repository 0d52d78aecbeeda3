//! Reads request bodies within limits on size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::entry::FailureReason;
use crate::http::ByteBudget;
use crate::http::ReservedBytes;
use crate::units::ByteSize;

/// A caller that sends nothing for this long in the middle of its body is considered gone.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The memory budget for the bodies of requests that have not ended.
///
/// A body is kept until its request ends, since a retry sends it again. Without a limit, a burst of
/// million-token prompts would exhaust the host's memory and fail every request on it; with the
/// limit, the requests that do not fit are told to retry later.
#[derive(Clone, Debug)]
pub struct BodyMemory(ByteBudget);

/// A body that has been read, with its reservation in the memory budget.
#[derive(Debug)]
pub struct BufferedBody {
    /// The whole body as one contiguous buffer.
    pub bytes: Bytes,
    _reserved: ReservedBytes,
}

impl BodyMemory {
    /// Creates a budget of this size.
    pub fn new(size: ByteSize) -> Self {
        Self(ByteBudget::new(size))
    }

    /// The number of bytes that are reserved now.
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes()
    }

    /// Reads a body of at most `size_max`, and reserves memory for it before storing it.
    pub async fn read(
        &self,
        mut body: Incoming,
        size_max: ByteSize,
    ) -> Result<BufferedBody, FailureReason> {
        let announced = body.size_hint().upper();
        if announced.is_some_and(|len| len > size_max.0) {
            return Err(FailureReason::BodyTooLarge);
        }
        let announced_len = announced.and_then(|len| usize::try_from(len).ok());
        let mut reserved = self.reserve(announced_len.unwrap_or(0))?;
        let mut bytes = BytesMut::with_capacity(announced_len.unwrap_or(0));
        loop {
            let frame = tokio::time::timeout(BODY_READ_TIMEOUT, body.frame()).await;
            let Some(frame) = frame.map_err(|_| FailureReason::BadRequest)? else {
                break;
            };
            let frame = frame.map_err(|_| FailureReason::BadRequest)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if (bytes.len() + data.len()) as u64 > size_max.0 {
                return Err(FailureReason::BodyTooLarge);
            }
            if announced_len.is_none() {
                reserved.merge(self.reserve(data.len())?);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            _reserved: reserved,
        })
    }

    /// Reserves memory without waiting, and fails if the budget is used up.
    fn reserve(&self, len: usize) -> Result<ReservedBytes, FailureReason> {
        self.0.reserve(len).ok_or(FailureReason::BodyMemory)
    }
}
