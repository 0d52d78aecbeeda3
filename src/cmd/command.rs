//! The subcommands of the tool.

use std::io::Write;
use std::str::FromStr;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::check;
use crate::cmd::diff;
use crate::cmd::explain;
use crate::cmd::help;
use crate::cmd::publish;
use crate::cmd::status;
use crate::cmd::version;

/// A subcommand of the tool, without its arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Checks settings and manifest files.
    Check,
    /// Shows what a manifest would change.
    Diff,
    /// Shows the decisions that were made for a request.
    Explain,
    /// Shows the usage of the tool or of one subcommand.
    Help,
    /// Publishes a manifest.
    Publish,
    /// Shows the state of the fleet.
    Status,
    /// Shows the version of the tool.
    Version,
}

impl Command {
    /// The subcommands with their names on the command line.
    const ALL: [(&'static str, Self); 7] = [
        ("check", Self::Check),
        ("diff", Self::Diff),
        ("explain", Self::Explain),
        ("help", Self::Help),
        ("publish", Self::Publish),
        ("status", Self::Status),
        ("version", Self::Version),
    ];

    /// The usage text of the subcommand.
    pub fn usage(self) -> &'static str {
        let usage = match self {
            Self::Check => check::USAGE,
            Self::Diff => diff::USAGE,
            Self::Explain => explain::USAGE,
            Self::Help => help::USAGE,
            Self::Publish => publish::USAGE,
            Self::Status => status::USAGE,
            Self::Version => version::USAGE,
        };
        usage.trim()
    }

    /// Runs the subcommand with the arguments that follow its name. Results are written to `out`,
    /// messages about problems to standard error.
    pub fn run(self, args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
        match self {
            Self::Check => check::run(args, out),
            Self::Diff => diff::run(args, out),
            Self::Explain => explain::run(args, out),
            Self::Help => help::run(args, out),
            Self::Publish => publish::run(args, out),
            Self::Status => status::run(args, out),
            Self::Version => version::run(args, out),
        }
    }
}

impl FromStr for Command {
    type Err = CmdError;

    fn from_str(name: &str) -> Result<Self, CmdError> {
        let found = Self::ALL.into_iter().find(|(known, _)| *known == name);
        let unknown = || CmdError::Usage(format!("no command `{name}`; try `banyanarch help`"));
        found.map(|(_, command)| command).ok_or_else(unknown)
    }
}
