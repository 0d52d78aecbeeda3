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

enum Source {
    Host(SocketAddr),
    Platform(SocketAddr),
}

struct Args {
    source: Source,
    json: bool,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, CmdError> {
        let json = args.contains("--json");
        let host = args.opt_value_from_str("--host")?;
        let platform = args.opt_value_from_str("--platform")?;
        expect_no_more_args(args)?;
        let source = match (host, platform) {
            (Some(addr), None) => Source::Host(addr),
            (None, Some(addr)) => Source::Platform(addr),
            _ => {
                return Err(CmdError::Usage(
                    "give one of --host and --platform".to_owned(),
                ));
            }
        };
        Ok(Self { source, json })
    }
}

pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<ExitStatus, CmdError> {
    let args = Args::parse(args)?;
    let report = match args.source {
        Source::Host(addr) => block_on(read_host_report(addr))??,
        Source::Platform(addr) => block_on(read_platform_reports(&remote::platform_client(addr)))??,
    };
    if args.json {
        writeln!(out, "{report:#}")?;
    } else {
        write!(out, "{}", report_text::format_report(&report))?;
    }
    Ok(ExitStatus::Success)
}

async fn read_host_report(addr: SocketAddr) -> Result<Value, CmdError> {
    let page = host_page::fetch(addr, "/status").await?;
    page.ok_or_else(|| CmdError::InvalidResponse(format!("{addr} has no status page")))
}

async fn read_platform_reports(platform: &dyn PlatformClient) -> Result<Value, CmdError> {
    let generation = match fetch_published(platform).await? {
        Some((published, _)) => Value::from(published.generation.0),
        None => Value::Null,
    };
    let statuses = platform.list(ObjectKind::Statuses).await?;
    let hosts: Vec<Value> = statuses.items.into_iter().map(with_host_name).collect();
    Ok(json!({ "published_generation": generation, "reports": hosts }))
}

/// The report of a host with the name of the host as its first entry.
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
