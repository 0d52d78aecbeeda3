//! The subcommand `banyanarch explain`.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::files::expect_no_more_args;
use crate::cmd::files::read_text;
use crate::cmd::host_page;
use crate::cmd::merged_explanation::MergedExplanation;
use crate::cmd::merged_logs::MergedLogs;
use crate::cmd::remote::block_on;
use crate::units::RequestId;

pub(crate) const USAGE: &str = "
Shows which decisions were made for a request, where it was sent and why. The header
Banyanarch-Request-Id of the response is the id of the request, and Banyanarch-Host the host that
has most of its steps. Hosts keep only the latest requests; their logs have all of them.
With --logs, REQUEST_ID is the id that the caller gave.

Usage:
    banyanarch explain REQUEST_ID --host ADDR [--host ADDR]... [--json]
    banyanarch explain REQUEST_ID --logs FILE [--logs FILE]...
    banyanarch explain --failed --logs FILE [--logs FILE]...
    banyanarch explain --summary --logs FILE [--logs FILE]...

Options:
    --host ADDR    IP:PORT of the status port of a host; the steps of several hosts are merged.
    --json         Print JSON.
    --logs FILE    Logs of one or several hosts in any order; - is standard input. Text before the
                   JSON on a line is ignored.
    --failed       Print a line for each request that was not served, with the cause.
    --summary      Print statistics: waits, forecasts, first events and refusals by prompt length,
                   outcomes by time, and hosts that served their callers worse than the others.

Exit codes: 0 done, 1 no host or log has the request, 2 bad command line, 3 no host was reached.
";

/// What to ask hosts: the arguments of `banyanarch explain --host`.
struct HostQuery {
    request: RequestId,
    /// The status ports of the hosts.
    hosts: Vec<SocketAddr>,
    /// Whether to print JSON instead of text.
    json: bool,
}

/// What to show from the decision logs: the requests that were not served, statistics over all
/// requests, or the timeline of one request.
enum LogQuery {
    /// The requests that were not served.
    Failed,
    /// Statistics over all requests.
    Summary,
    /// The timeline of the request with this id, which the caller gave.
    Request(String),
}

impl HostQuery {
    /// Parses the arguments; an error without a request id or a host.
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        let json = args.contains("--json");
        let hosts: Vec<SocketAddr> = args.values_from_str("--host")?;
        let request = args.free_from_str()?;
        expect_no_more_args(args)?;
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

/// Explains a request from the pages of hosts, or, with `--logs`, one or all requests from decision
/// logs. Writes the result to `out`, and hosts that were not reached to standard error.
pub(crate) fn run(mut args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let logs: Vec<PathBuf> = args.values_from_str("--logs")?;
    if !logs.is_empty() {
        return run_logs(args, &logs, out);
    }
    let args = HostQuery::parse(args)?;
    let merged = block_on(query_hosts(args.request, &args.hosts))??;
    if merged.steps.is_empty() && merged.not_reached.len() == args.hosts.len() {
        eprintln!("no host was reached");
        return Ok(ExitStatus::Unreachable);
    }
    if args.json {
        writeln!(out, "{}", serde_json::to_string_pretty(&merged)?)?;
    } else {
        write!(out, "{merged}")?;
    }
    let is_found = !merged.steps.is_empty();
    Ok(if is_found {
        ExitStatus::Success
    } else {
        ExitStatus::Negative
    })
}

/// Explains requests from the decision logs in files.
fn run_logs(
    mut args: Arguments,
    paths: &[PathBuf],
    out: &mut dyn Write,
) -> Result<ExitStatus, CmdError> {
    let query = if args.contains("--failed") {
        LogQuery::Failed
    } else if args.contains("--summary") {
        LogQuery::Summary
    } else {
        LogQuery::Request(args.free_from_str()?)
    };
    expect_no_more_args(args)?;
    let mut logs = MergedLogs::default();
    for path in paths {
        logs.add_log(&read_log(path)?);
    }
    logs.sort();
    let is_found = match query {
        LogQuery::Failed => {
            write!(out, "{}", logs.failed_requests())?;
            true
        }
        LogQuery::Summary => {
            write!(out, "{}", logs.summary())?;
            true
        }
        LogQuery::Request(request) => {
            let timeline = logs.timeline(&request);
            write!(out, "{timeline}")?;
            timeline.is_found()
        }
    };
    Ok(if is_found {
        ExitStatus::Success
    } else {
        ExitStatus::Negative
    })
}

/// Reads a log from a file, or from standard input if the path is `-`.
fn read_log(path: &Path) -> Result<String, CmdError> {
    if path.as_os_str() == "-" {
        return Ok(io::read_to_string(io::stdin())?);
    }
    read_text(path)
}

/// Fetches the explanation of a request from each host in turn and merges the steps in order of
/// time. A host that cannot be reached or answers with an error is reported on standard error and
/// listed in `not_reached`.
async fn query_hosts(
    request: RequestId,
    hosts: &[SocketAddr],
) -> Result<MergedExplanation, CmdError> {
    let mut merged = MergedExplanation::new(request);
    for addr in hosts {
        match host_page::fetch(*addr, &format!("/explain/{request}")).await {
            Ok(Some(page)) => merged.add_page(*addr, page)?,
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
