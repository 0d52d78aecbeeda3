//! `standin demo`.

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::Done;
use crate::demo;

/// What it takes.
pub const USAGE: &str = "\
standin demo [--seed N] [--keep]

Starts platform, engines, a plain service and three entry hosts as processes on loopback, sends
requests of all lengths, kills an engine and an entry host in the middle, and compares what callers
saw with what ran. Fails when a request was lost or doubled. --keep leaves the logs in place.
";

struct Args {
    seed: u64,
    keep: bool,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let seed = args.opt_value_from_str("--seed")?;
        let keep = args.contains("--keep");
        cmd::finish(args)?;
        Ok(Self {
            seed: seed.unwrap_or(1),
            keep,
        })
    }
}

/// Runs it and prints its table.
pub fn run(args: Arguments) -> Done {
    let args = Args::parse(args)?;
    cmd::block_on(4, async move {
        let tally = demo::run(args.seed, args.keep).await?;
        Ok(match tally.is_clean() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}
