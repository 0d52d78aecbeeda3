//! Bodies that a host keeps whole, of requests and of responses, within one bound for all of them.

use std::fmt;
use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::gateway::body_memory::BodyMemory;
use crate::http::ReservedBytes;

/// The largest buffer of a usual body.
const USUAL_MAX: usize = 32 << 10;
/// The smallest buffer of a body whose length is not known.
const BUFFER_MIN: usize = 2 << 10;
/// The part of the budget that is kept for usual bodies while large ones use up the rest, as a divisor.
const USUAL_DIVISOR: usize = 4;

/// Why a body was not kept whole.
#[derive(Debug)]
pub(crate) enum HoldError<E> {
    /// It is longer than one body may be.
    TooLong,
    /// The host holds as many bytes as it may.
    NoMemory,
    /// It broke off.
    Broken(E),
}

impl<E: fmt::Display> fmt::Display for HoldError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the body is too long"),
            Self::NoMemory => f.write_str("this host holds as many bytes as it may"),
            Self::Broken(err) => err.fmt(f),
        }
    }
}

/// A buffer whose whole capacity is reserved.
#[derive(Default)]
struct HeldBuffer {
    bytes: Vec<u8>,
    reserved: Option<ReservedBytes>,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBuffer {
    /// Makes room for `len` bytes, and not for more than `len_max`. Returns false if there is no memory.
    async fn grow(&mut self, len: usize, len_max: usize, memory: &BodyMemory<'_>) -> bool {
        let before = self.bytes.capacity();
        if len <= before {
            return true;
        }
        let capacity = (before * 2).max(BUFFER_MIN).min(len_max).max(len);
        let kept = if capacity > USUAL_MAX {
            memory.max_bytes() / USUAL_DIVISOR
        } else {
            0
        };
        let Some(added) = memory.reserve(capacity - before, kept).await else {
            return false;
        };
        match &mut self.reserved {
            Some(reserved) => reserved.merge(added),
            None => self.reserved = Some(added),
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }
}

/// Reads a body of at most `len_max` bytes to its end. Its buffer is reserved for as long as the returned
/// bytes are kept.
pub(crate) async fn hold_body<B>(
    body: B,
    len_max: usize,
    memory: &BodyMemory<'_>,
) -> Result<Bytes, HoldError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let announced = body.size_hint().exact();
    let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    let mut body = pin!(body);
    let mut held = HeldBuffer::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(HoldError::Broken)?.into_data() else {
            continue;
        };
        let len = held.bytes.len() + data.len();
        if len > len_max {
            return Err(HoldError::TooLong);
        }
        if !held.grow(len, announced.unwrap_or(len_max), memory).await {
            return Err(HoldError::NoMemory);
        }
        held.bytes.extend_from_slice(&data);
    }
    Ok(match held.reserved {
        None => Bytes::new(),
        Some(_) => Bytes::from_owner(held),
    })
}
