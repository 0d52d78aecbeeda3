//! In-memory fake of the platform's object service. docs/PROTOCOLS.md describes the wire format.

mod api;
mod call_stats;
mod faults;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use call_stats::CallStats;
pub use faults::Outage;
pub use faults::PlatformFaults;

use crate::http::Server;
use crate::platform::api::Api;

/// A running fake platform. Dropping it closes the server and all its connections.
#[derive(Debug)]
pub struct PlatformFake {
    server: Server,
    api: Arc<Api>,
}

impl PlatformFake {
    /// Starts the platform on the current runtime.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let api = Arc::new(Api::default());
        let server = Server::start(listen, Arc::clone(&api) as _).await?;
        Ok(Self { server, api })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces all faults. During an outage, open watches end with an error.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Returns the counts of calls so far.
    pub fn stats(&self) -> CallStats {
        self.api.stats()
    }

    /// Waits until the server is closed, which happens only when the process ends.
    pub async fn closed(&self) {
        self.server.closed().await;
    }
}
