//! The soak's command line.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use soak::Plan;
use soak::Size;
use soak::checks::Promises;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const USAGE: &str = "
Runs real daemons on loopback under random faults and checks the promises from outside.

Usage:
    soak [--seed N] [--seeds N] [--minutes M] [options]
    soak --help

Options:
    --seed N        The first seed. Drawn if not given.
    --seeds N       How many seeds, one after the other. [default: 1]
    --minutes M     How long faults come, for each seed. [default: 0.5]
    --stretch X     Faults last X times as long as drawn. [default: 1]
    --hosts N       Hosts. [default: 6]
    --engines N     Engines. [default: 12]
    --instances N   Instances of each plain service. [default: 3]
    --node FILE     The daemon. [default: banyanarch-node beside this program]
    --logs DIR      Where logs go, a folder a seed. [default: soak-logs in the system's temporary folder]

Logs of a seed without a broken promise are deleted.
Exit codes: 0 all promises kept, 1 one was broken, 2 bad command line or no daemon.
";

const EXIT_BAD_USE: u8 = 2;
/// Broken promises that are printed of one seed.
const PRINTED_MAX: usize = 20;

struct Options {
    seed: u64,
    seeds: u64,
    plan: Plan,
    node: PathBuf,
    logs: PathBuf,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let options = match options(args) {
        Ok(options) => options,
        Err(problem) => {
            eprint!("soak: {problem}\n{USAGE}");
            return ExitCode::from(EXIT_BAD_USE);
        }
    };
    match run_all(&options) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("soak: {err}");
            ExitCode::from(EXIT_BAD_USE)
        }
    }
}

fn options(mut args: Arguments) -> Result<Options, String> {
    let said = |err: pico_args::Error| err.to_string();
    let seed = args.opt_value_from_str("--seed").map_err(said)?;
    let seeds = args.opt_value_from_str("--seeds").map_err(said)?;
    let minutes: Option<f64> = args.opt_value_from_str("--minutes").map_err(said)?;
    let stretch = args.opt_value_from_str("--stretch").map_err(said)?;
    let hosts = args.opt_value_from_str("--hosts").map_err(said)?;
    let engines = args.opt_value_from_str("--engines").map_err(said)?;
    let instances = args.opt_value_from_str("--instances").map_err(said)?;
    let node = args.opt_value_from_str("--node").map_err(said)?;
    let logs = args.opt_value_from_str("--logs").map_err(said)?;
    if let Some(unknown) = args.finish().first() {
        return Err(format!("{} is unknown", unknown.to_string_lossy()));
    }
    let faults_for = Duration::try_from_secs_f64(minutes.unwrap_or(0.5) * 60.0);
    let node: PathBuf = match node {
        Some(node) => node,
        None => beside().map_err(|err| err.to_string())?,
    };
    if !node.is_file() {
        return Err(format!("{} is no daemon; build it first", node.display()));
    }
    Ok(Options {
        seed: seed.unwrap_or_else(|| rand::random_range(0..1_000_000_000)),
        seeds: seeds.unwrap_or(1),
        plan: Plan {
            seed: 0,
            faults_for: faults_for.map_err(|err| format!("--minutes: {err}"))?,
            stretch: stretch.unwrap_or(1.0),
            size: Size {
                hosts: hosts.unwrap_or(6),
                engines: engines.unwrap_or(12),
                instances: instances.unwrap_or(3),
            },
            promises: Promises::All,
        },
        node,
        logs: logs.unwrap_or_else(|| std::env::temp_dir().join("soak-logs")),
    })
}

/// The daemon in the folder of this program.
fn beside() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("banyanarch-node"))
}

/// Runs all seeds. Returns how many broke a promise.
fn run_all(options: &Options) -> io::Result<u64> {
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let dir = options.logs.join(seed.to_string());
        std::fs::create_dir_all(&dir)?;
        let is_kept = run_seed(
            &Plan {
                seed,
                ..options.plan
            },
            &options.node,
            &dir,
        )?;
        if is_kept {
            std::fs::remove_dir_all(&dir)?;
        } else {
            println!("seed {seed}: logs are in {}", dir.display());
            failed += 1;
        }
    }
    println!("{} seeds, {failed} with a broken promise", options.seeds);
    Ok(failed)
}

fn run_seed(plan: &Plan, node: &Path, dir: &Path) -> io::Result<bool> {
    println!("seed {}", plan.seed);
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let verdict = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            verdict = soak::run(plan, node, dir) => verdict,
            // Dropped, the deployment ends its processes; the default would leave them behind.
            _ = terminate.recv() => Err(io::Error::other("terminated")),
            _ = tokio::signal::ctrl_c() => Err(io::Error::other("interrupted")),
        }
    })?;
    for broken in verdict.broken.iter().take(PRINTED_MAX) {
        println!("BROKEN {}: {}", broken.promise, broken.story);
    }
    println!(
        "seed {}: {} attempts, {} served, {} faults, {} broken promises",
        plan.seed,
        verdict.attempts,
        verdict.served,
        verdict.faults,
        verdict.broken.len()
    );
    Ok(verdict.broken.is_empty())
}
