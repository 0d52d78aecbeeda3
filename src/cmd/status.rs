//! `banyanarch status`.

use std::io::Write;
use std::net::SocketAddr;

use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;

use crate::cmd::CmdError;
use crate::cmd::Exit;
use crate::cmd::files::finish;
use crate::cmd::host_page;
use crate::cmd::remote;
use crate::cmd::remote::block_on;
use crate::cmd::remote::published;
use crate::cmd::show;
use crate::objects::Kind;
use crate::objects::Object;
use crate::objects::Platform;

pub(crate) const USAGE: &str = "
Shows how the fleet is: as one host sees it, or from the reports in the platform. A host answers
also when the platform is away.

Usage:
    banyanarch status --host ADDR [--json]
    banyanarch status --platform ADDR [--json]

Options:
    --host ADDR        IP:PORT of the status port of a host.
    --platform ADDR    IP:PORT of the platform's object service.
    --json             Print JSON.

Exit codes: 0 done, 1 a bad answer, 2 bad command line, 3 not reached.
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
        finish(args)?;
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

pub(crate) fn run(args: Arguments, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let args = Args::parse(args)?;
    let report = match args.source {
        Source::Host(addr) => block_on(of_host(addr))??,
        Source::Platform(addr) => block_on(of_platform(&remote::platform(addr)))??,
    };
    if args.json {
        writeln!(out, "{report:#}")?;
    } else {
        write!(out, "{}", show::text(&report))?;
    }
    Ok(Exit::Done)
}

async fn of_host(addr: SocketAddr) -> Result<Value, CmdError> {
    let page = host_page::read(addr, "/status").await?;
    page.ok_or_else(|| CmdError::BadAnswer(format!("{addr} has no status page")))
}

async fn of_platform(platform: &dyn Platform) -> Result<Value, CmdError> {
    let generation = match published(platform).await? {
        Some((held, _)) => Value::from(held.generation.0),
        None => Value::Null,
    };
    let statuses = platform.list(Kind::Statuses).await?;
    let hosts: Vec<Value> = statuses.items.into_iter().map(named).collect();
    Ok(json!({ "published_generation": generation, "reports": hosts }))
}

/// A report with its host's name in front.
fn named(object: Object) -> Value {
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
