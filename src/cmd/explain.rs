//! `banyanarch explain`.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::Exit;
use crate::cmd::explain_text::Merged;
use crate::cmd::files::finish;
use crate::cmd::files::read_text;
use crate::cmd::host_page;
use crate::cmd::logs::Logs;
use crate::cmd::remote::block_on;
use crate::units::RequestId;

pub(crate) const USAGE: &str = "
Shows what was decided for a request, where it went and why. The request's id stands in the header
Banyanarch-Request-Id of its answer, the host that knows most in Banyanarch-Host. Hosts keep the
latest requests only. Their logs know all: with --logs the id is the one that the caller gave.

Usage:
    banyanarch explain REQUEST_ID --host ADDR [--host ADDR]... [--json]
    banyanarch explain REQUEST_ID --logs FILE [--logs FILE]...
    banyanarch explain --failed --logs FILE [--logs FILE]...
    banyanarch explain --summary --logs FILE [--logs FILE]...

Options:
    --host ADDR    IP:PORT of the status port of a host; give several to merge what they know.
    --json         Print JSON.
    --logs FILE    Logs of one or several hosts in any order; - is standard input. What stands on a
                   line before its JSON is passed over.
    --failed       A line for each request that did not end well, with its cause.
    --summary      Where answers were lost: waits, forecasts and first events by the length of the prompt,
                   and how requests ended, by time.

Exit codes: 0 done, 1 no host or log knows the request, 2 bad command line, 3 no host was reached.
";

struct Args {
    request: RequestId,
    hosts: Vec<SocketAddr>,
    json: bool,
}

/// What is asked of logs.
enum OfLogs {
    Failed,
    Summary,
    Request(String),
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

pub(crate) fn run(mut args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let logs: Vec<PathBuf> = args.values_from_str("--logs")?;
    if !logs.is_empty() {
        return run_logs(args, &logs, out);
    }
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

fn run_logs(mut args: Arguments, paths: &[PathBuf], out: &mut dyn Write) -> Result<Exit, CmdError> {
    let wanted = if args.contains("--failed") {
        OfLogs::Failed
    } else if args.contains("--summary") {
        OfLogs::Summary
    } else {
        OfLogs::Request(args.free_from_str()?)
    };
    finish(args)?;
    let mut logs = Logs::default();
    for path in paths {
        logs.take_in(&read_log(path)?);
    }
    logs.sort();
    let is_known = match wanted {
        OfLogs::Failed => {
            write!(out, "{}", logs.failed())?;
            true
        }
        OfLogs::Summary => {
            write!(out, "{}", logs.summary())?;
            true
        }
        OfLogs::Request(request) => {
            let story = logs.story(&request);
            write!(out, "{story}")?;
            story.is_known()
        }
    };
    Ok(if is_known { Exit::Done } else { Exit::Refused })
}

fn read_log(path: &Path) -> Result<String, CmdError> {
    if path.as_os_str() == "-" {
        return Ok(io::read_to_string(io::stdin())?);
    }
    read_text(path)
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
