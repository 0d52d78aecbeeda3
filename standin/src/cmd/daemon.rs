//! The `daemon` subcommand, which runs an entry host as `banyanarchd` does.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::CommandResult;

/// Usage text.
pub const USAGE: &str = "\
standin daemon --settings FILE

Runs an entry host as banyanarchd does, so that the tools need no second program.
";

struct Args {
    settings: PathBuf,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let settings = args.value_from_str("--settings")?;
        cmd::reject_unknown(args)?;
        Ok(Self { settings })
    }
}

/// Runs the host until it receives a signal to stop.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    let code = banyanarch::daemon::run(&args.settings)?;
    Ok(ExitCode::from(u8::try_from(code).unwrap_or(1)))
}
