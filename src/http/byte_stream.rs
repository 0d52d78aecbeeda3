//! The connections that requests are sent on.

use std::fmt;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// A connection to another process, directly or through a third one.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

impl fmt::Debug for dyn ByteStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ByteStream")
    }
}

/// A connection of any kind.
pub type BoxedByteStream = Box<dyn ByteStream>;
