//! The interface through which clients of upstreams connect to them.

use std::net::SocketAddr;

use futures_util::future::BoxFuture;

use crate::http::BoxedByteStream;
use crate::http::one_shot::OneShotError;
use crate::units::UpstreamId;

/// Connects to upstreams, by whichever way they can be reached.
pub trait UpstreamConnector: Send + Sync {
    /// Opens a connection to an upstream that is used for one request.
    fn connect<'a>(
        &'a self,
        upstream: &'a UpstreamId,
        addr: SocketAddr,
    ) -> BoxFuture<'a, Result<BoxedByteStream, OneShotError>>;
}
