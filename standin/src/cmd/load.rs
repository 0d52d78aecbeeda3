//! The `load` subcommand.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use banyanarch::settings::PolicyName;
use pico_args::Arguments;
use serde_json::Value;

use crate::cmd;
use crate::cmd::CommandResult;
use crate::load;
use crate::load::LoadOptions;

/// Usage text.
pub const USAGE: &str = "\
standin load --scenario NAME [--policy P] [--objective O] [--seed N] [--json FILE]
             [--report FILE.html] [--keep]

Starts its own fleet of processes on loopback, runs one scenario and prints the results of callers.
Scenarios: burst, two-customers, hot-key, slow-upstream, short-among-long, saturation, retry-storm,
  wrong-reports, seven-hosts, path-cost
Policies: shipped (the default), round-robin, least-in-flight, alone
Objectives: short_slowdown (the default), first_token
--json and --report write the figures to files, --keep keeps the logs.
";

struct Args {
    options: LoadOptions,
    json: Option<PathBuf>,
    report: Option<PathBuf>,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let policy: Option<String> = args.opt_value_from_str("--policy")?;
        let objective: Option<String> = args.opt_value_from_str("--objective")?;
        let options = LoadOptions {
            scenario: args.value_from_str("--scenario")?,
            policy: policy.map_or(Ok(PolicyName::default()), |name| parse_policy(&name))?,
            objective: objective.unwrap_or_else(|| "short_slowdown".to_owned()),
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            keep: args.contains("--keep"),
        };
        let json = args.opt_value_from_str("--json")?;
        let report = args.opt_value_from_str("--report")?;
        cmd::reject_unknown(args)?;
        Ok(Self {
            options,
            json,
            report,
        })
    }
}

fn parse_policy(name: &str) -> Result<PolicyName, String> {
    serde_json::from_value(Value::from(name)).map_err(|_| format!("--policy: `{name}` is unknown"))
}

/// Runs a scenario, prints its figures and writes the requested files.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    cmd::block_on(4, async move {
        let report = load::run(&args.options).await?;
        if let Some(path) = args.json {
            std::fs::write(path, report.to_json())?;
        }
        if let Some(path) = args.report {
            std::fs::write(path, report.to_html())?;
        }
        print!("{}", report.to_text());
        Ok(ExitCode::SUCCESS)
    })
}
