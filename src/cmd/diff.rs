//! The subcommand `banyanarch diff`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::diff_manifests;
use crate::cmd::files::read_manifest;
use crate::cmd::files::single_file;
use crate::cmd::remote::block_on;
use crate::cmd::remote::fetch_published;
use crate::cmd::remote::platform_client;
use crate::manifest::Manifest;

pub(crate) const USAGE: &str = "
Shows what a manifest would change compared with the published one.

Usage:
    banyanarch diff FILE --platform ADDR

Options:
    --platform ADDR    IP:PORT of the platform's object service.

Exit codes: 0 no difference, 1 different, 2 the file is invalid, 3 the platform was not reached.
";

/// The arguments of `banyanarch diff`.
struct DiffArgs {
    /// The manifest file.
    file: PathBuf,
    /// The address of the object service of the platform.
    platform: SocketAddr,
}

impl DiffArgs {
    /// Parses the arguments; an error unless there is exactly one file and a platform address.
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        Ok(Self {
            platform: args.value_from_str("--platform")?,
            file: single_file(args)?,
        })
    }
}

/// Writes the differences between the published manifest and the given one to `out`, one per line.
pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let args = DiffArgs::parse(args)?;
    let new = read_manifest(&args.file)?.manifest;
    let platform = platform_client(args.platform);
    let Some((published, _)) = block_on(fetch_published(&platform))?? else {
        writeln!(out, "no manifest is published; all of it is new")?;
        return Ok(ExitStatus::Negative);
    };
    let old = Manifest::parse(
        &published.text,
        &format!("generation {}", published.generation),
    )?;
    let lines = diff_manifests(&old, &new)?;
    if lines.is_empty() {
        writeln!(
            out,
            "no difference from generation {}",
            published.generation
        )?;
        return Ok(ExitStatus::Success);
    }
    writeln!(out, "compared with generation {}:", published.generation)?;
    for line in lines {
        writeln!(out, "{line}")?;
    }
    Ok(ExitStatus::Negative)
}
