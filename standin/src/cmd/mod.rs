//! The subcommands, one a file, each with its usage text, its arguments and one `run`.

pub mod daemon;
pub mod demo;
pub mod engine;
pub mod load;
pub mod platform;
pub mod service;

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;

/// What a subcommand returns.
pub type Done = Result<ExitCode, Box<dyn Error>>;

/// Threads of a fake: it mostly waits.
const THREADS: usize = 2;

/// Runs a subcommand on a runtime of its own.
fn block_on(threads: usize, work: impl Future<Output = Done>) -> Done {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?;
    runtime.block_on(work)
}

/// Fails when arguments are left that no option took.
fn finish(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().as_slice() {
        [] => Ok(()),
        rest => Err(format!("unknown arguments: {rest:?}").into()),
    }
}
