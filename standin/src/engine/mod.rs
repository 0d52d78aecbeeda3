//! A model engine that batches continuously: prefill in chunks, a decode step that grows with the
//! batch, limited memory with a prefix cache in what is left, priorities, resume, cancel, gangs and
//! orders. docs/PROTOCOLS.md gives the wire form.
//!
//! Attempts outlive their connection: one that nobody reads goes on until it ends, is cancelled or
//! its time runs out.

mod api;
mod attempt;
mod batch;
mod cache;
mod faults;
mod options;
mod orders;
mod prompt;
mod record;
mod reports;
mod shared;
mod stream;
mod throughput;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use banyanarch::upstream::EngineState;
use tokio::task::JoinHandle;

pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use record::RunEnd;
pub use record::RunLog;
pub use record::RunRecord;
pub use record::read_runs;
pub use record::wall_ms;
pub use throughput::throughput;

use crate::engine::api::Api;
use crate::engine::shared::Shared;
use crate::http::Server;

/// The exit code of an engine that was told to die.
const DIED: i32 = 137;

/// A running engine. Dropping it is its death.
#[derive(Debug)]
pub struct Engine {
    server: Arc<Server>,
    shared: Arc<Shared>,
    steps: JoinHandle<()>,
}

impl Engine {
    /// Starts it on the current runtime.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let exits = options.exits;
        let shared = Arc::new(Shared::new(options)?);
        let api = Arc::new(Api {
            shared: Arc::clone(&shared),
        });
        let server = Arc::new(Server::start(listen, api).await?);
        let steps = tokio::spawn(live(Arc::clone(&shared), Arc::clone(&server), exits));
        Ok(Self {
            server,
            shared,
            steps,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets all faults at once.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults);
    }

    /// Every attempt that ever ran.
    pub fn record(&self) -> Vec<RunRecord> {
        self.shared.batch().log.all()
    }

    /// What it has loaded.
    pub fn state(&self) -> EngineState {
        self.shared.loaded().state(Instant::now())
    }

    /// Memory that no attempt and no hold has.
    pub fn free_tokens(&self) -> u64 {
        self.shared.batch().free_tokens()
    }

    /// Returns when it has died.
    pub async fn died(&self) {
        self.server.closed().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.close();
        self.steps.abort();
    }
}

async fn live(shared: Arc<Shared>, server: Arc<Server>, exits: bool) {
    tokio::select! {
        () = shared.run_steps() => (),
        () = shared.told_to_die() => (),
    }
    if exits {
        std::process::exit(DIED);
    }
    server.close();
}
