//! The subcommand `banyanarch version`.

use std::io::Write;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::files::expect_no_more_args;

pub(crate) const USAGE: &str = "
Shows the version.

Usage:
    banyanarch version
";

/// Writes the name and the version of the tool to `out`.
pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    expect_no_more_args(args)?;
    writeln!(out, "banyanarch {}", env!("CARGO_PKG_VERSION"))?;
    Ok(ExitStatus::Success)
}
