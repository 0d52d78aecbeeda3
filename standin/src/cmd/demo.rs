//! The `demo` subcommand.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::CommandResult;
use crate::demo;
use crate::demo::DemoOptions;

/// Usage text.
pub const USAGE: &str = "\
standin demo [--seed N] [--lasts-s N] [--keep]

Starts platform, engines, a plain service and three entry hosts as processes on loopback, sends
requests of all lengths, kills an engine and an entry host during the run, and compares what callers
were told with what ran. Fails if a request was lost or ran twice. Requests arrive for --lasts-s
seconds (default 15); --keep keeps the logs.
";

/// Default duration of arrivals, in seconds.
const DURATION_DEFAULT_S: u64 = 15;

struct Args {
    options: DemoOptions,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let duration_s = args.opt_value_from_str("--lasts-s")?;
        let options = DemoOptions {
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            duration: Duration::from_secs(duration_s.unwrap_or(DURATION_DEFAULT_S)),
            keep: args.contains("--keep"),
        };
        cmd::reject_unknown(args)?;
        Ok(Self { options })
    }
}

/// Runs the demo; the exit code is a failure if a request was lost or ran twice.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    cmd::block_on(4, async move {
        let tally = demo::run(&args.options).await?;
        Ok(match tally.is_clean() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}
