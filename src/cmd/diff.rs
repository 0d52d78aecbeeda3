//! `banyanarch diff`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Exit;
use crate::cmd::changes;
use crate::cmd::files::one_file;
use crate::cmd::files::read_manifest;
use crate::cmd::remote::block_on;
use crate::cmd::remote::platform;
use crate::cmd::remote::published;
use crate::manifest::Manifest;

pub(crate) const USAGE: &str = "
Shows what a manifest would change against the published one.

Usage:
    banyanarch diff FILE --platform ADDR

Options:
    --platform ADDR    IP:PORT of the platform's object service.

Exit codes: 0 no difference, 1 different, 2 the file is wrong, 3 the platform was not reached.
";

struct Args {
    file: PathBuf,
    platform: SocketAddr,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        Ok(Self {
            platform: args.value_from_str("--platform")?,
            file: one_file(args)?,
        })
    }
}

pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let args = Args::parse(args)?;
    let new = read_manifest(&args.file)?.manifest;
    let platform = platform(args.platform);
    let Some((held, _)) = block_on(published(&platform))?? else {
        writeln!(out, "no manifest is published; all of it is new")?;
        return Ok(Exit::Refused);
    };
    let old = Manifest::parse(&held.text, &format!("generation {}", held.generation))?;
    let lines = changes(&old, &new)?;
    if lines.is_empty() {
        writeln!(out, "no difference to generation {}", held.generation)?;
        return Ok(Exit::Done);
    }
    writeln!(out, "against generation {}:", held.generation)?;
    for line in lines {
        writeln!(out, "{line}")?;
    }
    Ok(Exit::Refused)
}
