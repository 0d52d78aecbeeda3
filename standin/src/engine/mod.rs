//! Fake model engine with continuous batching: chunked prefill, decode steps that take longer with
//! a larger batch, limited memory with a prefix cache in the unused part, priorities, resumption,
//! cancellation, gangs and orders. docs/PROTOCOLS.md describes the wire format.
//!
//! Attempts outlive their connection: an attempt that nobody reads continues until it ends, is
//! cancelled or reaches its deadline.

mod api;
mod attempt;
mod batch;
mod cache;
mod faults;
mod options;
mod orders;
mod processing_time;
mod prompt;
mod record;
mod reports;
mod shared;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use banyanarch::upstream::EngineState;
use tokio::task::JoinHandle;

pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use processing_time::processing_time;
pub use record::RunEnd;
pub use record::RunLog;
pub use record::RunRecord;
pub use record::read_runs;
pub use record::unix_time_ms;

use crate::engine::api::Api;
use crate::engine::shared::Shared;
use crate::http::Server;

/// Exit code of an engine process after the `die` fault or a crashing prompt: that of a process
/// killed by SIGKILL.
const CRASH_EXIT_CODE: i32 = 137;

/// A running fake engine. Dropping it stops the engine and closes all its connections, as a crash
/// would.
#[derive(Debug)]
pub struct Engine {
    server: Arc<Server>,
    shared: Arc<Shared>,
    steps: JoinHandle<()>,
}

impl Engine {
    /// Binds the listener, opens the record file and runs the engine on the current runtime. A
    /// crash exits the process if [`EngineOptions::exits`] is set, and otherwise closes the server.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let exits = options.exits;
        let shared = Arc::new(Shared::new(options)?);
        let api = Arc::new(Api {
            shared: Arc::clone(&shared),
        });
        let server = Arc::new(Server::start(listen, api).await?);
        let steps = tokio::spawn(run_until_crash(
            Arc::clone(&shared),
            Arc::clone(&server),
            exits,
        ));
        Ok(Self {
            server,
            shared,
            steps,
        })
    }

    /// Returns the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the record of every attempt that was accepted.
    pub fn record(&self) -> Vec<RunRecord> {
        self.shared.batch().log.all()
    }

    /// Returns which model the engine has loaded, and whether it is still loading.
    pub fn state(&self) -> EngineState {
        self.shared.loaded_state().state(Instant::now())
    }

    /// Returns the memory, in tokens, that neither attempts nor reservations use.
    pub fn free_tokens(&self) -> u64 {
        self.shared.batch().free_tokens()
    }

    /// Waits until the engine has stopped.
    pub async fn stopped(&self) {
        self.server.closed().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.close();
        self.steps.abort();
    }
}

/// Runs the steps of the engine until a fault or a prompt crashes it.
async fn run_until_crash(shared: Arc<Shared>, server: Arc<Server>, exits: bool) {
    tokio::select! {
        () = shared.run_steps() => (),
        () = shared.wait_for_die_fault() => (),
    }
    if exits {
        std::process::exit(CRASH_EXIT_CODE);
    }
    server.close();
}
