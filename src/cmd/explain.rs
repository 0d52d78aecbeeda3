//! `banyanarch explain`.

use std::io::Write;
use std::net::SocketAddr;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Exit;
use crate::cmd::explain_text::Merged;
use crate::cmd::files::finish;
use crate::cmd::host_page;
use crate::cmd::remote::block_on;
use crate::units::RequestId;

pub(crate) const USAGE: &str = "
Shows what was decided for a request, where it went and why. The request's id stands in the header
Banyanarch-Request-Id of its answer, the host that knows most in Banyanarch-Host. Hosts keep the
latest requests only.

Usage:
    banyanarch explain REQUEST_ID --host ADDR [--host ADDR]... [--json]

Options:
    --host ADDR    IP:PORT of the status port of a host; give several to merge what they know.
    --json         Print JSON.

Exit codes: 0 done, 1 no host knows the request, 2 bad command line, 3 no host was reached.
";

struct Args {
    request: RequestId,
    hosts: Vec<SocketAddr>,
    json: bool,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        let json = args.contains("--json");
        let hosts: Vec<SocketAddr> = args.values_from_str("--host")?;
        let request = args.free_from_str()?;
        finish(args)?;
        if hosts.is_empty() {
            return Err(CmdError::Usage("give at least one --host".to_owned()));
        }
        Ok(Self {
            request,
            hosts,
            json,
        })
    }
}

pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let args = Args::parse(args)?;
    let merged = block_on(ask_all(args.request, &args.hosts))??;
    if merged.steps.is_empty() && merged.not_reached.len() == args.hosts.len() {
        eprintln!("no host was reached");
        return Ok(Exit::Unreachable);
    }
    if args.json {
        writeln!(out, "{}", serde_json::to_string_pretty(&merged)?)?;
    } else {
        write!(out, "{merged}")?;
    }
    let is_known = !merged.steps.is_empty();
    Ok(if is_known { Exit::Done } else { Exit::Refused })
}

async fn ask_all(request: RequestId, hosts: &[SocketAddr]) -> Result<Merged, CmdError> {
    let mut merged = Merged::new(request);
    for addr in hosts {
        match host_page::read(*addr, &format!("/explain/{request}")).await {
            Ok(Some(page)) => merged.take_in(*addr, page)?,
            Ok(None) => {}
            Err(error) => {
                eprintln!("{addr}: {error}; its steps are missing");
                merged.not_reached.push(*addr);
            }
        }
    }
    merged.sort();
    Ok(merged)
}
