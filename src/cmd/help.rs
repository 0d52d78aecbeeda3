//! The subcommand `banyanarch help`.

use std::io::Write;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Command;
use crate::cmd::ExitStatus;

pub(crate) const USAGE: &str = "
Operates a fleet of banyanarch hosts: publishes manifests and shows the state of the fleet.

Usage:
    banyanarch COMMAND [OPTIONS]
    banyanarch help COMMAND
    banyanarch --version

Commands:
    check      Check settings and manifests.
    diff       Show what a manifest would change.
    publish    Publish a manifest.
    status     Show the state of the fleet.
    explain    Show the decisions made for a request.
    help       Show the usage of a command.
    version    Show the version.

Exit codes: 0 done, 1 refused, different or not found, 2 bad command line or file,
3 platform or host not reached (nothing was changed), 4 unknown whether published.
";

/// Writes the usage of the subcommand that the first argument names to `out`, or of the tool if no
/// subcommand is named.
pub(crate) fn run(mut args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let topic = args.opt_free_from_str::<String>()?;
    let command = match topic {
        Some(name) => name.parse()?,
        None => Command::Help,
    };
    writeln!(out, "{}", command.usage())?;
    Ok(ExitStatus::Success)
}
