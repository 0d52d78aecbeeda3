//! The subcommand `banyanarch publish`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::files::read_manifest;
use crate::cmd::files::single_file;
use crate::cmd::publication;
use crate::cmd::remote::block_on;
use crate::cmd::remote::platform_client;
use crate::units::Generation;

pub(crate) const USAGE: &str = "
Checks a manifest and publishes it. Prints `accepted as generation N`, `refused (WHY)` or
`unknown (WHY)`.

Usage:
    banyanarch publish FILE --platform ADDR [--expect GENERATION]

Options:
    --platform ADDR        IP:PORT of the platform's object service.
    --expect GENERATION    Publish only if this generation is the one published now (0: none).

Exit codes: 0 accepted, or already published; 1 refused; 2 the file is invalid; 3 the platform was
not reached and nothing was written; 4 unknown: the platform did not answer the write.
After 4, run the same command again: a manifest that is already published is not published twice.
";

/// Pauses before the attempts to learn whether an unanswered write took effect, about ten seconds
/// in all. A healthy platform answers within milliseconds.
const RETRY_PAUSES: [Duration; 8] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
    Duration::from_secs(2),
    Duration::from_secs(2),
    Duration::from_secs(3),
];

/// The arguments of `banyanarch publish`.
struct PublishArgs {
    /// The manifest file.
    file: PathBuf,
    /// The address of the object service of the platform.
    platform: SocketAddr,
    /// The generation that must be published now; 0 if no manifest may be published yet; none if
    /// any generation may be.
    expect: Option<Generation>,
}

impl PublishArgs {
    /// Parses the arguments; an error unless there is exactly one file and a platform address.
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        Ok(Self {
            platform: args.value_from_str("--platform")?,
            expect: args.opt_value_from_str("--expect")?,
            file: single_file(args)?,
        })
    }
}

/// Validates the manifest and publishes it under a random publish id, with `--expect` only if that
/// generation is published. Writes the outcome to `out`. An invalid manifest is an error, not an
/// exit status. After an unanswered write, the command reads what is published and, if that does
/// not tell the outcome, writes again, several times.
pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let args = PublishArgs::parse(args)?;
    let file = read_manifest(&args.file)?;
    let platform = platform_client(args.platform);
    let publish_id = rand::random();
    let work = publication::publish_manifest(
        &platform,
        &file.text,
        publish_id,
        args.expect,
        &RETRY_PAUSES,
    );
    let outcome = block_on(work)??;
    writeln!(out, "{outcome}")?;
    Ok(outcome.exit_status())
}
