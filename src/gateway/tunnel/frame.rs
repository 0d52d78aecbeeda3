//! The messages of an open tunnel.

use bytes::Bytes;

/// The maximum number of bytes that a host puts into one frame.
pub(crate) const FRAME_DATA_MAX: usize = 16 << 10;

/// How the upstream has ended its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub(crate) enum UpstreamEnd {
    /// It has not.
    Open = 0,
    /// It has closed the connection, after all of the bytes before.
    Closed = 1,
    /// It has reset the connection, or can no longer be reached.
    Broken = 2,
}

/// Bytes that pass through a tunnel, or the end of the upstream's connection. A tunnel that ends
/// without such an end says nothing about the upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(crate) struct TunnelFrame {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub(crate) data: Bytes,
    /// The end of the upstream's connection. Only the providing host announces it.
    #[prost(enumeration = "UpstreamEnd", tag = "2")]
    pub(crate) end: i32,
}

impl TunnelFrame {
    pub(crate) fn of_data(data: Bytes) -> Self {
        Self {
            data,
            ..Self::default()
        }
    }

    pub(crate) fn of_end(end: UpstreamEnd) -> Self {
        Self {
            end: end.into(),
            ..Self::default()
        }
    }
}
