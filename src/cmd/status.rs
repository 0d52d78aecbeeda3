//! The subcommand `banyanarch status`.

use std::io::Write;
use std::net::SocketAddr;

use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;

use crate::cmd::CmdError;
use crate::cmd::ExitStatus;
use crate::cmd::files::expect_no_more_args;
use crate::cmd::host_page;
use crate::cmd::remote;
use crate::cmd::remote::block_on;
use crate::cmd::remote::fetch_published;
use crate::cmd::report_text;
use crate::objects::Object;
use crate::objects::ObjectKind;
use crate::objects::PlatformClient;

pub(crate) const USAGE: &str = "
Shows the state of the fleet: as one host sees it, or from the reports in the platform. A host
answers even if the platform is unreachable.

Usage:
    banyanarch status --host ADDR [--json]
    banyanarch status --platform ADDR [--json]

Options:
    --host ADDR        IP:PORT of the status port of a host.
    --platform ADDR    IP:PORT of the platform's object service.
    --json             Print JSON.

Exit codes: 0 done, 1 invalid response, 2 bad command line, 3 not reached.
";

/// Where the status is read from.
enum ReportSource {
    /// The status port of a host at this address.
    Host(SocketAddr),
    /// The object service of the platform at this address.
    Platform(SocketAddr),
}

/// The arguments of `banyanarch status`.
struct StatusArgs {
    source: ReportSource,
    /// Whether to print JSON instead of text.
    json: bool,
}

impl StatusArgs {
    /// Parses the arguments; an error unless exactly one of `--host` and `--platform` is given.
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        let json = args.contains("--json");
        let host = args.opt_value_from_str("--host")?;
        let platform = args.opt_value_from_str("--platform")?;
        expect_no_more_args(args)?;
        let source = match (host, platform) {
            (Some(addr), None) => ReportSource::Host(addr),
            (None, Some(addr)) => ReportSource::Platform(addr),
            _ => {
                return Err(CmdError::Usage(
                    "give one of --host and --platform".to_owned(),
                ));
            }
        };
        Ok(Self { source, json })
    }
}

/// Reads the status from a host or from the platform and writes it to `out` as a readable report,
/// or as JSON with `--json`. The exit status is success whenever the status could be read, whatever
/// it says.
pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let args = StatusArgs::parse(args)?;
    let report = match args.source {
        ReportSource::Host(addr) => block_on(read_host_report(addr))??,
        ReportSource::Platform(addr) => {
            block_on(read_platform_reports(&remote::platform_client(addr)))??
        }
    };
    if args.json {
        writeln!(out, "{report:#}")?;
    } else {
        write!(out, "{}", report_text::format_report(&report))?;
    }
    Ok(ExitStatus::Success)
}

/// Reads the status page of a host.
async fn read_host_report(addr: SocketAddr) -> Result<Value, CmdError> {
    let page = host_page::fetch(addr, "/status").await?;
    page.ok_or_else(|| CmdError::InvalidResponse(format!("{addr} has no status page")))
}

/// Reads the published generation, null if none is published, and the reports that the hosts have
/// written to the platform.
async fn read_platform_reports(platform: &dyn PlatformClient) -> Result<Value, CmdError> {
    let generation = match fetch_published(platform).await? {
        Some((published, _)) => Value::from(published.generation.0),
        None => Value::Null,
    };
    let statuses = platform.list(ObjectKind::Statuses).await?;
    let hosts: Vec<Value> = statuses.items.into_iter().map(with_host_name).collect();
    Ok(json!({ "published_generation": generation, "reports": hosts }))
}

/// Converts a status object to the report of its host, with the name of the host as first entry.
/// A report that is not an object becomes the entry `report`.
fn with_host_name(object: Object) -> Value {
    let mut entries = serde_json::Map::new();
    entries.insert("host".to_owned(), Value::from(object.key.name));
    match object.value {
        Value::Object(report) => entries.extend(report),
        other => {
            entries.insert("report".to_owned(), other);
        }
    }
    Value::Object(entries)
}
