//! Bodies that a host keeps whole, of requests and of responses, within one bound for all of them.

use std::fmt;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::http::ByteBudget;
use crate::http::ReservedBytes;

/// The bytes of a body that need no reservation, so that usual bodies are kept also while large ones
/// use up the budget.
const UNRESERVED_MAX: usize = 32 << 10;

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

/// Bytes with their reservation, which lasts until the last clone of them is dropped.
struct HeldBytes {
    bytes: BytesMut,
    _reserved: ReservedBytes,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `len_max` bytes to its end. What is longer than usual is reserved in the
/// budget for as long as the returned bytes are kept.
pub(crate) async fn hold_body<B>(
    body: B,
    len_max: usize,
    budget: &ByteBudget,
) -> Result<Bytes, HoldError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    let mut reserved: Option<ReservedBytes> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(HoldError::Broken)?.into_data() else {
            continue;
        };
        let len = bytes.len() + data.len();
        if len > len_max {
            return Err(HoldError::TooLong);
        }
        if len > UNRESERVED_MAX {
            let added = budget.reserve(data.len()).ok_or(HoldError::NoMemory)?;
            match &mut reserved {
                Some(reserved) => reserved.merge(added),
                None => reserved = Some(added),
            }
        }
        bytes.extend_from_slice(&data);
    }
    Ok(match reserved {
        None => bytes.freeze(),
        Some(reserved) => Bytes::from_owner(HeldBytes {
            bytes,
            _reserved: reserved,
        }),
    })
}
