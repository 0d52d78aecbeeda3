//! An engine to which orders and requests for reports are sent.

use std::net::SocketAddr;

use crate::gateway::UpstreamConnector;
use crate::http::BoxedByteStream;
use crate::http::one_shot::OneShotError;
use crate::units::UpstreamId;

/// An engine, and how to connect to it.
#[derive(Clone, Copy)]
pub struct EngineEndpoint<'a> {
    /// The id of the engine.
    pub id: &'a UpstreamId,
    /// The address of the engine.
    pub addr: SocketAddr,
    /// Connects to the engine.
    pub connector: &'a dyn UpstreamConnector,
}

impl EngineEndpoint<'_> {
    /// Opens a connection to the engine.
    pub async fn connect(&self) -> Result<BoxedByteStream, OneShotError> {
        self.connector.connect(self.id, self.addr).await
    }
}
