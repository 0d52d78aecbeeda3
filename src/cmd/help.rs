//! `banyanarch help`.

use std::io::Write;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Command;
use crate::cmd::Exit;

pub(crate) const USAGE: &str = "
Drives a fleet of banyanarch hosts by publishing manifests and reading status.

Usage:
    banyanarch COMMAND [OPTIONS]
    banyanarch help COMMAND
    banyanarch --version

Commands:
    check      Check settings and manifests.
    diff       Show what a manifest would change.
    publish    Publish a manifest.
    status     Show how the fleet is.
    explain    Show what was decided for a request.
    help       Show how a command is used.
    version    Show the version.

Exit codes: 0 done, 1 refused, different or not found, 2 bad command line or file,
3 platform or host not reached (nothing was changed), 4 unknown whether published.
";

pub(crate) fn run(mut args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let about = args.opt_free_from_str::<String>()?;
    let command = match about {
        Some(name) => name.parse()?,
        None => Command::Help,
    };
    writeln!(out, "{}", command.usage())?;
    Ok(Exit::Done)
}
