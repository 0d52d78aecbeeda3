//! What a host does again and again.

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

/// The membership expects a tick each 100 ms and takes a longer gap for a pause of the process.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);
const MACHINES_PAUSE: Duration = Duration::from_secs(1);
const MACHINES_WAIT: Duration = Duration::from_secs(10);
const ORDERS_PAUSE: Duration = Duration::from_secs(1);
const REFRESH_PAUSE: Duration = Duration::from_millis(100);

/// Starts the loops of a host.
pub(crate) fn start(host: &Arc<Host>) {
    every(host, MEMBERSHIP_TICK, |host| {
        host.news.on_events(host.membership.tick());
    });
    every(host, MEMBERSHIP_TICK, |host| host.manifests.tick());
    every(host, ANNOUNCE_PAUSE, |host| host.granter.announce_grants());
    every(host, REFRESH_PAUSE, |host| {
        host.home_table.refresh();
        host.homes.refresh();
    });
    every(host, ORDERS_PAUSE, |host| host.orders.tick());
    tokio::spawn(status_loop::keep(Arc::clone(host)));
    tokio::spawn(keep_machines(Arc::clone(host)));
}

fn every(host: &Arc<Host>, pause: Duration, step: impl Fn(&Host) + Send + 'static) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        let mut ticks = interval(pause);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            step(&host);
        }
    });
}

/// Reads the list of machines when it has changed. A list a second of each of 400 hosts would be a
/// fifth of the reads that the platform takes; a waiting watch is a tenth of that.
async fn keep_machines(host: Arc<Host>) {
    let mut after = None;
    loop {
        let read = match after {
            None => read_machines(&host).await,
            Some(version) => match host
                .platform
                .watch(ObjectKind::Machines, version, MACHINES_WAIT)
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
                warn!("platform: no list of machines: {err}");
                after = None;
            }
        }
        sleep(MACHINES_PAUSE).await;
    }
}

async fn read_machines(host: &Host) -> Result<ObjectVersion, PlatformError> {
    let list = host.platform.list(ObjectKind::Machines).await?;
    let listed = machine_list::take_in(&host.cluster_view, &list);
    host.addrs.add_seeds(&listed.seeds);
    host.membership.add_seeds(&listed.seeds);
    for (upstream, version) in listed.leaving {
        host.membership
            .announce_leaving_upstream(&upstream, version);
    }
    Ok(list.version)
}
