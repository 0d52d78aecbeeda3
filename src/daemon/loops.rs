//! The periodic background work of a host.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::daemon::host::Host;
use crate::daemon::machine_list;
use crate::daemon::status_loop;
use crate::fleet::MembershipEventHandler;
use crate::objects::ObjectKind;
use crate::objects::PlatformError;
use crate::units::ObjectVersion;

/// The interval between two ticks of the membership and of the manifest controller. The membership
/// expects a tick every 100 ms and treats a longer gap as a pause of the process.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);
/// The interval at which this host announces its live grants to the homes, so that a new home
/// learns of them.
const ANNOUNCE_TICK: Duration = Duration::from_secs(1);
/// The pause between two watches of the list of machines, also after a failure.
const MACHINES_PAUSE: Duration = Duration::from_secs(1);
/// How long one watch waits for a change of the list of machines.
const MACHINES_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between two steps of the reconciler.
const RECONCILER_TICK: Duration = Duration::from_secs(1);
/// The interval between two updates of the home directory and of the homes on this host.
const REFRESH_TICK: Duration = Duration::from_millis(100);

/// Starts the background loops of a host.
pub(crate) fn start(host: &Arc<Host>) {
    spawn_periodic(host, MEMBERSHIP_TICK, |host| {
        host.membership_handler.on_events(host.membership.tick());
    });
    spawn_periodic(host, MEMBERSHIP_TICK, |host| host.manifests.tick());
    spawn_periodic(host, ANNOUNCE_TICK, |host| host.granter.announce_grants());
    spawn_periodic(host, REFRESH_TICK, |host| {
        host.home_directory.refresh();
        host.homes.refresh();
    });
    spawn_periodic(host, RECONCILER_TICK, |host| host.reconciler.tick());
    tokio::spawn(status_loop::run(Arc::clone(host)));
    tokio::spawn(watch_machines(Arc::clone(host)));
}

/// Starts a task that calls `step` at an interval of `period`. A late call delays the later ones;
/// missed calls are not made up for.
fn spawn_periodic(host: &Arc<Host>, period: Duration, step: impl Fn(&Host) + Send + 'static) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            step(&host);
        }
    });
}

/// Reads the list of machines whenever it has changed. If each of 400 hosts read the list once a
/// second, the reads would take a fifth of the platform's read capacity; a long-polling watch needs
/// a tenth of those reads.
async fn watch_machines(host: Arc<Host>) {
    let mut after = None;
    loop {
        let read = match after {
            None => read_machines(&host).await,
            Some(version) => match host
                .platform
                .watch(ObjectKind::Machines, version, MACHINES_WATCH_TIMEOUT)
                .await
            {
                Ok(changes) if changes.version > version => read_machines(&host).await,
                Ok(_) => Ok(version),
                Err(err) => Err(err),
            },
        };
        match read {
            Ok(version) => after = Some(version),
            Err(err) => {
                warn!("platform: cannot read the list of machines: {err}");
                after = None;
            }
        }
        sleep(MACHINES_PAUSE).await;
    }
}

/// Reads the list of machines and returns its version. Updates the cluster view, adds the listed
/// machines as seeds to the addresses and to the membership, and announces the leaving upstreams to
/// other hosts.
async fn read_machines(host: &Host) -> Result<ObjectVersion, PlatformError> {
    let list = host.platform.list(ObjectKind::Machines).await?;
    let listed = machine_list::apply(&host.cluster_view, &list);
    host.addrs.add_seeds(&listed.seeds);
    host.membership.add_seeds(&listed.seeds);
    for (upstream, version) in listed.leaving {
        host.membership
            .announce_leaving_upstream(&upstream, version);
    }
    Ok(list.version)
}
