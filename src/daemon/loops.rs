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
use crate::fleet::NewsSink;
use crate::platform::Kind;

/// The membership expects a tick each 100 ms and takes a longer gap for a pause of the process.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);
const MACHINES_PAUSE: Duration = Duration::from_secs(1);
const ORDERS_PAUSE: Duration = Duration::from_secs(1);
const REFRESH_PAUSE: Duration = Duration::from_millis(100);

/// Starts the loops of a host.
pub(crate) fn start(host: &Arc<Host>) {
    every(host, MEMBERSHIP_TICK, |host| {
        host.news.take(host.membership.tick());
    });
    every(host, MEMBERSHIP_TICK, |host| host.manifests.tick());
    every(host, ANNOUNCE_PAUSE, |host| host.granter.announce());
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

async fn keep_machines(host: Arc<Host>) {
    loop {
        read_machines(&host).await;
        sleep(MACHINES_PAUSE).await;
    }
}

async fn read_machines(host: &Host) {
    match host.platform.list(Kind::Machines).await {
        Ok(list) => {
            let listed = machine_list::take_in(&host.board, &list);
            host.addrs.learn(&listed.seeds);
            host.membership.seed(&listed.seeds);
            for (upstream, version) in listed.leaving {
                host.membership.note_leaving(&upstream, version);
            }
        }
        Err(err) => warn!("platform: no list of machines: {err}"),
    }
}
