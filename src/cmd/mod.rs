//! The subcommands of the command-line tool, one per file, and the code that they share.

mod check;
mod checked_files;
mod command;
mod diff;
mod error;
mod exit_status;
mod explain;
mod files;
mod help;
mod host_outcomes;
mod host_page;
mod log_summary;
mod manifest_diff;
mod merged_explanation;
mod merged_logs;
mod outcome_descriptions;
mod publication;
mod publish;
mod publish_outcome;
mod remote;
mod report_text;
mod request_timeline;
mod status;
mod version;

use std::ffi::OsString;
use std::io::Write;

use pico_args::Arguments;

pub use command::Command;
pub use error::CmdError;
pub use exit_status::ExitStatus;
pub use manifest_diff::diff_manifests;
pub use publication::publish_manifest;
pub use publish_outcome::PublishOutcome;

/// Runs the tool with the arguments that follow the program name. Results are written to `out`,
/// errors to standard error.
pub fn run(args: Vec<OsString>, out: &mut dyn Write) -> ExitStatus {
    match dispatch(args, out) {
        Ok(status) => status,
        Err(CmdError::Output(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => {
            // The reader, such as `head`, has closed the pipe. This is not an error.
            ExitStatus::Success
        }
        Err(error) => {
            eprintln!("{error}");
            error.exit_status()
        }
    }
}

/// Runs the subcommand that the first argument names. `--help` with any subcommand prints its usage
/// instead.
fn dispatch(args: Vec<OsString>, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let mut args = Arguments::from_vec(args);
    let name = args.subcommand()?;
    let command = match name {
        Some(name) => name.parse()?,
        None if args.contains(["-V", "--version"]) => Command::Version,
        None => Command::Help,
    };
    if args.contains(["-h", "--help"]) {
        writeln!(out, "{}", command.usage())?;
        return Ok(ExitStatus::Success);
    }
    command.run(args, out)
}
