//! Writes this host's status report to the platform at a limited rate.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::status::Reporter;
use crate::control::status::ReporterAction;
use crate::control::status::StatusInputs;
use crate::control::status::StatusReport;
use crate::daemon::host::Host;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::ObjectVersion;

/// The interval at which the report is built and checked for changes. Building the report for 400
/// hosts takes about a millisecond. The reporter writes the report at most once in 30 s.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Builds the current status report of a host.
pub(crate) fn report(host: &Host) -> StatusReport {
    StatusReport::new(StatusInputs {
        host: &host.settings.host,
        domain: &host.settings.failure_domain,
        cluster_view: &host.cluster_view,
        manifest: host.manifests.status(),
        homes: host.homes.pool_loads(),
        silent_domains: host.membership.silent_domains(),
        events: &host.events,
    })
}

/// Builds the report periodically and writes it whenever the reporter decides so.
pub(crate) async fn run(host: Arc<Host>) {
    let mut reporter = Reporter::new(StdRng::from_os_rng(), host.clock.now());
    let key = ObjectKey::new(ObjectKind::Statuses, host.settings.host.as_str());
    loop {
        sleep(REPORT_INTERVAL).await;
        let report = report(&host).for_platform();
        match reporter.tick(hash_stable_fields(&report), host.clock.now()) {
            Some(ReporterAction::Read) => {
                let read = host.platform.get(key.clone()).await;
                reporter.on_read(&read, host.clock.now());
            }
            Some(ReporterAction::Write(expected)) => {
                let written = write(&host, key.clone(), &report, expected).await;
                if let Err(err) = &written {
                    debug!("status: cannot write the report: {err}");
                }
                reporter.on_written(&written, host.clock.now());
            }
            None => {}
        }
    }
}

async fn write(
    host: &Host,
    key: ObjectKey,
    report: &StatusReport,
    expected: Precondition,
) -> Result<ObjectVersion, PlatformError> {
    let value = serde_json::to_value(report);
    let value = value.map_err(|err| PlatformError::Refused(err.to_string()))?;
    host.platform.put(key, value, expected).await
}

/// Hashes the report without ages and load figures, which change constantly and do not warrant a
/// write.
fn hash_stable_fields(report: &StatusReport) -> u64 {
    let mut stable = report.clone();
    stable.generation_confirmed_ago_s = None;
    for event in &mut stable.lately {
        event.ago_s = 0;
    }
    for home in &mut stable.homes {
        (
            home.waiting,
            home.running,
            home.short_wait_ms,
            home.free_tokens,
        ) = (0, 0, 0, 0);
    }
    xxh3_64(format!("{stable:?}").as_bytes())
}
