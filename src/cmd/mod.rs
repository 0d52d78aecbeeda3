//! The subcommands of the command-line tool, one a file.

mod check;
mod command;
mod cross_check;
mod diff;
mod error;
mod exit;
mod explain;
mod explain_text;
mod files;
mod help;
mod host_page;
mod log_causes;
mod log_story;
mod log_summary;
mod logs;
mod manifest_changes;
mod publication;
mod publish;
mod publish_outcome;
mod remote;
mod show;
mod status;
mod version;

use std::ffi::OsString;
use std::io::Write;

use pico_args::Arguments;

pub use command::Command;
pub use error::CmdError;
pub use exit::Exit;
pub use manifest_changes::changes;
pub use publication::publish_manifest;
pub use publish_outcome::PublishOutcome;

/// Runs the tool with the arguments after its name. What it has to say goes to `out`, problems go
/// to standard error.
pub fn run(args: Vec<OsString>, out: &mut dyn Write) -> Exit {
    match dispatch(args, out) {
        Ok(exit) => exit,
        Err(CmdError::Output(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => {
            // The reader, such as `head`, has had enough.
            Exit::Done
        }
        Err(error) => {
            eprintln!("{error}");
            error.exit()
        }
    }
}

fn dispatch(args: Vec<OsString>, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let mut args = Arguments::from_vec(args);
    let name = args.subcommand()?;
    let command = match name {
        Some(name) => name.parse()?,
        None if args.contains(["-V", "--version"]) => Command::Version,
        None => Command::Help,
    };
    if args.contains(["-h", "--help"]) {
        writeln!(out, "{}", command.usage())?;
        return Ok(Exit::Done);
    }
    command.run(args, out)
}
