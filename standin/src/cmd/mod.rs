//! The subcommands. Each module holds the usage text, the arguments and `run` of one.

pub mod daemon;
pub mod demo;
pub mod engine;
pub mod load;
pub mod platform;
pub mod service;

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;

/// Result of a subcommand.
pub type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Worker threads of a fake. Two are enough, since a fake mostly waits.
const FAKE_THREADS: usize = 2;

/// Runs a subcommand on a runtime of its own.
fn block_on(threads: usize, command: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?;
    runtime.block_on(command)
}

/// Returns an error if arguments are left that no option has consumed.
fn reject_unknown(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().as_slice() {
        [] => Ok(()),
        rest => Err(format!("unknown arguments: {rest:?}").into()),
    }
}
