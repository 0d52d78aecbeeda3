//! `banyanarch version`.

use std::io::Write;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Exit;
use crate::cmd::files::finish;

pub(crate) const USAGE: &str = "
Shows the version.

Usage:
    banyanarch version
";

pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    finish(args)?;
    writeln!(out, "banyanarch {}", env!("CARGO_PKG_VERSION"))?;
    Ok(Exit::Done)
}
