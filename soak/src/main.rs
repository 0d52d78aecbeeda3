//! The command line of the soak test.

use std::io;
use std::num::NonZeroU32;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use soak::DeploymentSize;
use soak::SoakConf;
use soak::checks::GuaranteeSet;
use soak::crash_point::CrashPoint;
use soak::crashing_request::CrashCause;
use soak::crowd::CrowdConf;
use soak::crowd::run_crowd;
use soak::crowd_kind::CrowdKind;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use banyanarch::units::seconds;

const USAGE: &str = "
Runs real daemons on loopback under random faults and checks the guarantees from outside.

Usage:
    soak [--seed N] [--seeds N] [--minutes M] [options]
    soak --help

Options:
    --seed N        The first seed. [default: random]
    --seeds N       Number of consecutive seeds to run. [default: 1]
    --minutes M     How long faults are injected, per seed. [default: 0.5]
    --stretch X     Factor on the drawn duration of each fault. [default: 1]
    --path-cuts     Inject only cuts between hosts and all upstreams.
    --floods        Inject only floods of one customer, while some upstreams are gone or slow.
    --parts         Inject only restarts of hosts, while requests with one part in their prompts
                    crash engines, and so do the repeats of one request. With --path-cuts,
                    inject both.
    --crash-point P Where these requests crash engines: unanswered, late, head, half, event or
                    events; or how their calls have ended by then: answered, failed, invalid,
                    abandoned or overdue. [default: one of the first six, drawn for the run]
    --after-calls   With --parts, draw one of the last five for the run.
    --crash-cause C Why: part or repeat. [default: both]
    --crash-requests N  The number of different requests that are repeated and crash upstreams.
                    [default: 1]
    --crash-parts N The number of different parts of prompts that crash engines. [default: 1]
    --crash-share P Of the tries with such a part, this share crash their engines, in percent; the
                    others are served. [default: 100]
    --crash-services    With --parts, some of these requests go to plain services.
    --restart-all   With --parts, also restart all hosts, at the same time or in turn.
    --crash-ratio N Of the prompts, one in N has the part. [default: 6]
    --outages       Inject only outages of all upstreams, and restarts of all hosts in them.
    --silences      Inject only silences of upstreams and changes of the manifest.
    --crowd KIND    In place of all that, send a crowd of clients that do not behave to one host, and
                    print what memory and descriptors it takes and which ordinary requests it serves:
                    whole, pieces, medium, large-chunks, small-chunks, announced-too-long,
                    sent-too-long, head or silent.
    --clients N     Number of clients of the crowd. [default: 1000]
    --memory-mb M   With --crowd, the memory in the host's settings. [default: 64]
    --descriptors N With --crowd, the descriptors in the host's settings. [default: 1600]
    --hosts N       Number of hosts. [default: 6]
    --draw-hosts    Draw the number of hosts of each run: 1 to 8 in each of 3 failure domains.
    --engines N     Number of engines. [default: 12]
    --instances N   Number of instances of each plain service. [default: 3]
    --node FILE     The daemon program. [default: banyanarch-node in the directory of this program]
    --logs DIR      Directory for logs, with one subdirectory per seed.
                    [default: soak-logs in the system's temporary directory]

The logs of a seed that broke no guarantee are deleted.
Exit codes: 0 all guarantees held, 1 a guarantee was broken, 2 invalid command line, daemon program
not found, or a run that failed to start or was interrupted.
";

/// Exit code for an invalid command line and for a run that could not be started or completed.
const EXIT_ERROR: u8 = 2;
/// Of the prompts, one in this number has the part that crashes engines, unless it is given.
const CRASH_RATIO: u32 = 6;
/// The number of clients of a crowd, and the memory and descriptors of its host, unless they are given.
const CROWD_CLIENTS: usize = 1_000;
const CROWD_MEMORY_MB: f64 = 64.0;
const CROWD_DESCRIPTORS: usize = 1_600;
/// Maximum number of violations that are printed per seed.
const PRINTED_VIOLATIONS_MAX: usize = 20;

/// The parsed command line.
struct Options {
    /// The first seed.
    seed: u64,
    /// Number of consecutive seeds.
    seeds: u64,
    /// Whether the number of hosts is drawn for each seed.
    draws_hosts: bool,
    /// The configuration of each run, apart from its seed.
    conf: SoakConf,
    /// The crowd that is run in place of seeds, if any.
    crowd: Option<CrowdConf>,
    /// The daemon program.
    node: PathBuf,
    /// The directory for logs.
    logs: PathBuf,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let options = match parse_options(args) {
        Ok(options) => options,
        Err(problem) => {
            eprint!("soak: {problem}\n{USAGE}");
            return ExitCode::from(EXIT_ERROR);
        }
    };
    let outcome = match &options.crowd {
        Some(crowd) => run_one_crowd(crowd, &options),
        None => run_all(&options),
    };
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("soak: {err}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Parses the command line and checks that the daemon program exists. Without `--seed` the first
/// seed is drawn at random. The seed of `conf` is set later, for each run. Returns an error text
/// for an invalid option or a missing program.
fn parse_options(mut args: Arguments) -> Result<Options, String> {
    let error_text = |err: pico_args::Error| err.to_string();
    let seed = args.opt_value_from_str("--seed").map_err(error_text)?;
    let seeds = args.opt_value_from_str("--seeds").map_err(error_text)?;
    let minutes: Option<f64> = args.opt_value_from_str("--minutes").map_err(error_text)?;
    let only_path_cuts = args.contains("--path-cuts");
    let only_floods = args.contains("--floods");
    let only_parts = args.contains("--parts");
    let only_outages = args.contains("--outages");
    let only_silences = args.contains("--silences");
    let restarts_all = args.contains("--restart-all");
    let crash_point: Result<Option<CrashPoint>, _> = args.opt_value_from_str("--crash-point");
    let crash_cause: Result<Option<CrashCause>, _> = args.opt_value_from_str("--crash-cause");
    let crash_ratio: Result<Option<NonZeroU32>, _> = args.opt_value_from_str("--crash-ratio");
    let crash_requests: Result<Option<NonZeroU32>, _> = args.opt_value_from_str("--crash-requests");
    let crash_parts: Result<Option<NonZeroU32>, _> = args.opt_value_from_str("--crash-parts");
    let crash_share: Result<Option<u32>, _> = args.opt_value_from_str("--crash-share");
    let crashes_services = args.contains("--crash-services");
    let crashes_after_calls = args.contains("--after-calls");
    let draws_hosts = args.contains("--draw-hosts");
    let stretch = args.opt_value_from_str("--stretch").map_err(error_text)?;
    let crowd = parse_crowd(&mut args).map_err(error_text)?;
    let hosts = args.opt_value_from_str("--hosts").map_err(error_text)?;
    let engines = args.opt_value_from_str("--engines").map_err(error_text)?;
    let instances = args.opt_value_from_str("--instances").map_err(error_text)?;
    let node = args.opt_value_from_str("--node").map_err(error_text)?;
    let logs = args.opt_value_from_str("--logs").map_err(error_text)?;
    if let Some(unknown) = args.finish().first() {
        return Err(format!("unknown argument {}", unknown.to_string_lossy()));
    }
    let crash_share_percent = crash_share.map_err(error_text)?.unwrap_or(100);
    if crash_share_percent > 100 {
        return Err(format!("--crash-share: {crash_share_percent} is over 100"));
    }
    let minutes = minutes.unwrap_or(0.5);
    if !minutes.is_finite() || minutes < 0.0 {
        return Err(format!("--minutes: {minutes} is no time"));
    }
    let node: PathBuf = match node {
        Some(node) => node,
        None => default_node_path().map_err(|err| err.to_string())?,
    };
    if !node.is_file() {
        return Err(format!(
            "daemon program {} not found; build it first",
            node.display()
        ));
    }
    Ok(Options {
        seed: seed.unwrap_or_else(|| rand::random_range(0..1_000_000_000)),
        seeds: seeds.unwrap_or(1),
        draws_hosts,
        conf: SoakConf {
            seed: 0,
            faults_for: seconds(minutes * 60.0),
            stretch: stretch.unwrap_or(1.0),
            size: DeploymentSize {
                hosts: hosts.unwrap_or(6),
                engines: engines.unwrap_or(12),
                instances: instances.unwrap_or(3),
            },
            only_path_cuts,
            only_floods,
            only_parts,
            restarts_all,
            crash_point: crash_point.map_err(error_text)?,
            crashes_after_calls,
            crash_requests: crash_requests
                .map_err(error_text)?
                .map_or(1, NonZeroU32::get),
            crash_parts: crash_parts.map_err(error_text)?.map_or(1, NonZeroU32::get),
            crash_share_percent,
            crashes_services,
            crash_cause: crash_cause.map_err(error_text)?,
            crash_ratio: crash_ratio
                .map_err(error_text)?
                .map_or(CRASH_RATIO, NonZeroU32::get),
            only_outages,
            only_silences,
            guarantees: GuaranteeSet::All,
        },
        crowd,
        node,
        logs: logs.unwrap_or_else(|| std::env::temp_dir().join("soak-logs")),
    })
}

/// Parses the options of a crowd; none if there is none.
fn parse_crowd(args: &mut Arguments) -> Result<Option<CrowdConf>, pico_args::Error> {
    let kind: Option<CrowdKind> = args.opt_value_from_str("--crowd")?;
    let clients: Option<usize> = args.opt_value_from_str("--clients")?;
    let memory_mb: Option<f64> = args.opt_value_from_str("--memory-mb")?;
    let descriptors: Option<usize> = args.opt_value_from_str("--descriptors")?;
    Ok(kind.map(|kind| CrowdConf {
        kind,
        clients: clients.unwrap_or(CROWD_CLIENTS),
        memory_mb: memory_mb.unwrap_or(CROWD_MEMORY_MB),
        descriptors: descriptors.unwrap_or(CROWD_DESCRIPTORS),
    }))
}

/// Runs a crowd and prints what was seen. Returns 1 if the host took too much or did not serve an ordinary
/// request, otherwise 0.
fn run_one_crowd(conf: &CrowdConf, options: &Options) -> io::Result<u64> {
    let dir = options.logs.join(format!("crowd-{}", conf.kind));
    std::fs::create_dir_all(&dir)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let report = runtime.block_on(run_crowd(conf, &options.node, &dir))?;
    println!("{}: {report:?}", conf.kind);
    Ok(u64::from(!report.has_passed(conf)))
}

/// Returns the path of the daemon in the directory of this program.
fn default_node_path() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("banyanarch-node"))
}

/// Runs all seeds and deletes the logs of those that broke no guarantee. Returns the number of
/// seeds that broke one.
fn run_all(options: &Options) -> io::Result<u64> {
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let dir = options.logs.join(seed.to_string());
        std::fs::create_dir_all(&dir)?;
        let mut conf = SoakConf {
            seed,
            ..options.conf
        };
        if options.draws_hosts {
            conf.size.hosts = DeploymentSize::draw_hosts(seed);
        }
        let has_passed = run_seed(&conf, &options.node, &dir)?;
        if has_passed {
            std::fs::remove_dir_all(&dir)?;
        } else {
            println!("seed {seed}: logs are in {}", dir.display());
            failed += 1;
        }
    }
    println!("{} seeds, {failed} with a broken guarantee", options.seeds);
    Ok(failed)
}

/// Runs one seed and prints a summary and at most [`PRINTED_VIOLATIONS_MAX`] violations. Returns
/// whether all guarantees held. SIGTERM or Ctrl-C ends the run with an error and kills the host
/// processes.
fn run_seed(conf: &SoakConf, node: &Path, dir: &Path) -> io::Result<bool> {
    println!("seed {}, {} hosts", conf.seed, conf.size.hosts);
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let report = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            report = soak::run(conf, node, dir) => report,
            // Dropping the deployment kills its host processes; the default action of the signal
            // would leave them running.
            _ = terminate.recv() => Err(io::Error::other("terminated")),
            _ = tokio::signal::ctrl_c() => Err(io::Error::other("interrupted")),
        }
    })?;
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS_MAX) {
        println!("BROKEN {}: {}", violation.guarantee, violation.details);
    }
    println!(
        "seed {}: {} attempts, {} served, {} faults, {} broken guarantees",
        conf.seed,
        report.attempts,
        report.served,
        report.faults,
        report.violations.len()
    );
    Ok(report.violations.is_empty())
}
