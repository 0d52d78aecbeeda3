//! The platform's object service in memory. docs/PROTOCOLS.md gives the wire form.

mod api;
mod faults;
mod stats;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use faults::Outage;
pub use faults::PlatformFaults;
pub use stats::Stats;

use crate::http::Server;
use crate::platform::api::Api;

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformFake {
    server: Server,
    api: Arc<Api>,
}

impl PlatformFake {
    /// Starts it on the current runtime.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let api = Arc::new(Api::default());
        let server = Server::start(listen, Arc::clone(&api) as _).await?;
        Ok(Self { server, api })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets all faults at once.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Counts of calls so far.
    pub fn stats(&self) -> Stats {
        self.api.stats()
    }

    /// Returns when the server was closed, which it never does by itself.
    pub async fn closed(&self) {
        self.server.closed().await;
    }
}
