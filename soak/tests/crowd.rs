//! Crowds of clients that do not behave, at a host with lowered limits.
//!
//! What is checked does not depend on the speed of the machine: that the process lives, what memory and
//! descriptors it takes, and that ordinary requests are answered.

mod daemon;

use std::sync::Mutex;
use std::sync::PoisonError;

use daemon::daemon_path;
use soak::crowd::CrowdConf;
use soak::crowd::CrowdReport;
use soak::crowd::run_crowd;
use soak::crowd_kind::CrowdKind;
use yare::parameterized;

/// The limits of the host: memory for each descriptor as on the smallest machines of the users.
const MEMORY_MB: f64 = 64.0;
const DESCRIPTORS: usize = 1_600;
/// The number of clients: more than the host has connections for.
const CLIENTS: usize = 1_000;

/// Crowds are run one after the other, since each takes as many connections as the host has.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run(conf: &CrowdConf) -> CrowdReport {
    let _running = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let name = format!("crowd-test-{}-{}", std::process::id(), conf.kind);
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let report = runtime.block_on(run_crowd(conf, &daemon_path(), &dir));
    std::fs::remove_dir_all(&dir).unwrap();
    report.unwrap()
}

/// Guards against clients that use up the memory or the descriptors of a host, or keep ordinary callers from
/// being served.
#[parameterized(
    whole = { CrowdKind::Whole },
    pieces = { CrowdKind::Pieces },
    medium = { CrowdKind::Medium },
    large_chunks = { CrowdKind::LargeChunks },
    small_chunks = { CrowdKind::SmallChunks },
    announced_too_long = { CrowdKind::AnnouncedTooLong },
    sent_too_long = { CrowdKind::SentTooLong },
    head = { CrowdKind::Head },
    silent = { CrowdKind::Silent },
)]
fn a_host_survives_a_crowd_and_serves_others(kind: CrowdKind) {
    let conf = CrowdConf {
        kind,
        clients: CLIENTS,
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
    let report = run(&conf);
    assert!(report.has_passed(&conf), "{report:?}");
}
