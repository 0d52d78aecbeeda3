//! How faults are injected. Faults may overlap. Where several set the mode of the same link,
//! upstream or store, the last one to set the mode decides, and the end of any of them restores
//! normal operation.

use std::sync::Arc;
use std::time::Duration;

use banyanarch_platform::stand_in;
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::call;
use crate::deployment::DOMAINS;
use crate::deployment::Deployment;
use crate::deployment::STOP_GRACE;
use crate::deployment::lock;
use crate::fault::Fault;
use crate::history::FaultScope;
use crate::history::LimitPeriod;
use crate::history::StoreChange;
use crate::link_proxy::LinkMode;
use crate::link_proxy::LinkProxy;
use crate::store::StoreMode;
use crate::upstream::UpstreamMode;
use crate::upstream::UpstreamStandIn;

/// How long the entry of a killed upstream stays in the store after its replacement has started,
/// the time of three heartbeats.
const KILLED_ENTRY_LIFETIME: Duration = Duration::from_millis(2_500);
/// Interval at which a cut of all upstreams is applied to links that are new or were opened by the
/// end of another fault.
const PATH_CUT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which engines that have crashed are replaced.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a leaving upstream continues to serve.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Injects faults, each after its pause, without waiting for earlier faults to end. Returns when
/// all have ended.
pub(crate) async fn inject_all(deployment: &Arc<Deployment>, faults: Vec<(Duration, Fault)>) {
    let mut running = JoinSet::new();
    for (gap, fault) in faults {
        sleep(gap).await;
        let deployment = Arc::clone(deployment);
        running.spawn(async move { inject(&deployment, fault).await });
    }
    while running.join_next().await.is_some() {}
}

/// Injects one fault, waits for its end, undoes it and records it. Route moves, key revocations and
/// evacuations are recorded as store changes instead. A rate limit is also recorded as a limit
/// period.
async fn inject(deployment: &Arc<Deployment>, fault: Fault) {
    let from = deployment.now();
    let printed_fault = format!("{fault:?}");
    let scope = match fault {
        Fault::KillHost(host, down) => {
            lock(&deployment.hosts[host]).signal(Signal::SIGKILL);
            sleep(down).await;
            restart_host(deployment, host).await;
            FaultScope::Processes(vec![host])
        }
        Fault::KillAllHosts(down) => {
            for host in &deployment.hosts {
                lock(host).signal(Signal::SIGKILL);
            }
            sleep(down).await;
            for host in 0..deployment.hosts.len() {
                restart_host(deployment, host).await;
            }
            FaultScope::Processes((0..deployment.hosts.len()).collect())
        }
        Fault::StopHost(host) => {
            lock(&deployment.hosts[host]).signal(Signal::SIGTERM);
            let incarnation = lock(&deployment.hosts[host]).incarnation;
            // Another fault may end this process and start the next one.
            let is_stopping = || {
                let mut host = lock(&deployment.hosts[host]);
                host.incarnation == incarnation && host.is_running()
            };
            let end = deployment.now() + STOP_GRACE;
            while deployment.now() < end && is_stopping() {
                sleep(Duration::from_millis(20)).await;
            }
            if is_stopping() {
                lock(&deployment.hosts[host]).signal(Signal::SIGKILL);
            }
            restart_host(deployment, host).await;
            FaultScope::PlannedStop(host)
        }
        Fault::PauseHost(host, time) => {
            lock(&deployment.hosts[host]).signal(Signal::SIGSTOP);
            sleep(time).await;
            lock(&deployment.hosts[host]).signal(Signal::SIGCONT);
            FaultScope::Processes(vec![host])
        }
        Fault::ReloadHostSettings(host) => {
            lock(&deployment.hosts[host]).signal(Signal::SIGHUP);
            FaultScope::Hosts(Vec::new())
        }
        Fault::Store(mode, time) => {
            deployment.store.set_mode(mode);
            sleep(time).await;
            deployment.store.set_mode(StoreMode::Healthy);
            FaultScope::Store
        }
        Fault::StoreTurnsAway(hosts, time) => {
            deployment.store.turn_away(&hosts);
            sleep(time).await;
            deployment.store.serve_again(&hosts);
            FaultScope::Hosts(hosts)
        }
        Fault::RestoreStore([running, down, unregistered]) => {
            let snapshot = deployment.store.snapshot();
            sleep(running).await;
            deployment.store.set_mode(StoreMode::Unresponsive);
            sleep(down).await;
            deployment.store.restore(snapshot);
            deployment.store.set_mode(StoreMode::Healthy);
            sleep(unregistered).await;
            deployment.store.reregister_upstreams();
            FaultScope::Store
        }
        Fault::StoreLink(host, mode, time) => {
            set_link_mode_for(&[deployment.store_links[host].clone()], mode, time).await;
            FaultScope::Hosts(vec![host])
        }
        Fault::CallerLink(host, mode, time) => {
            set_link_mode_for(&[deployment.caller_links[host].clone()], mode, time).await;
            FaultScope::Hosts(vec![host])
        }
        Fault::PeerLinks(host, mode, time) => {
            let is_at_host = |(from, to): &(usize, usize)| *from == host || *to == host;
            let links = deployment
                .peer_links
                .iter()
                .filter(|(ends, _)| is_at_host(ends));
            let links: Vec<LinkProxy> = links.map(|(_, link)| link.clone()).collect();
            set_link_mode_for(&links, mode, time).await;
            FaultScope::Hosts((0..deployment.hosts.len()).collect())
        }
        Fault::UpstreamLinks(domain, other, mode, time) => {
            let links = upstream_links(deployment, |from, of| from == domain && of == other);
            set_link_mode_for(&links, mode, time).await;
            FaultScope::Hosts((0..deployment.hosts.len()).collect())
        }
        Fault::UpstreamPaths(domains, mode, time) => {
            let links = || upstream_links(deployment, |from, _| domains.contains(&from));
            let end = deployment.now() + time;
            while deployment.now() < end {
                for link in links() {
                    link.set_mode(mode);
                }
                sleep(PATH_CUT_INTERVAL).await;
            }
            for link in links() {
                link.set_mode(LinkMode::Open);
            }
            let hosts = 0..deployment.hosts.len();
            let is_cut = |host: &usize| domains.contains(&(host % DOMAINS));
            FaultScope::UpstreamPaths(hosts.filter(is_cut).collect())
        }
        Fault::DomainLinks(domain, mode, time) => {
            let is_in = |host: usize| host % DOMAINS == domain;
            let crosses = |(from, to): &(usize, usize)| is_in(*from) != is_in(*to);
            let peers = deployment
                .peer_links
                .iter()
                .filter(|(ends, _)| crosses(ends));
            let mut links: Vec<LinkProxy> = peers.map(|(_, link)| link.clone()).collect();
            links.extend(upstream_links(deployment, |from, of| {
                (from == domain) != (of == domain)
            }));
            let own = (0..deployment.hosts.len()).filter(|host| is_in(*host));
            links.extend(own.map(|host| deployment.store_links[host].clone()));
            set_link_mode_for(&links, mode, time).await;
            FaultScope::Hosts((0..deployment.hosts.len()).collect())
        }
        Fault::Upstream(index, mode, time) => {
            let upstream = upstream_at(deployment, index);
            upstream.set_mode(mode);
            sleep(time).await;
            upstream.set_mode(UpstreamMode::Healthy);
            FaultScope::Upstream
        }
        Fault::AllUpstreams(mode, time) => {
            let upstreams = lock(&deployment.upstreams).clone();
            for upstream in &upstreams {
                upstream.set_mode(mode);
            }
            sleep(time).await;
            for upstream in &upstreams {
                upstream.set_mode(UpstreamMode::Healthy);
            }
            FaultScope::AllUpstreams
        }
        Fault::SilenceUpstreams(share, time) => {
            let silent = share.select(&lock(&deployment.upstreams));
            for upstream in &silent {
                upstream.start_silence();
            }
            sleep(time).await;
            for upstream in &silent {
                upstream.end_silence();
            }
            FaultScope::SilentUpstreams
        }
        Fault::LimitUpstream(index, per_s, time) => {
            let upstream = upstream_at(deployment, index);
            upstream.start_advertising_limit(per_s);
            sleep(time).await;
            upstream.stop_advertising_limit(per_s);
            deployment.history.lock().limit_periods.push(LimitPeriod {
                upstream: upstream.id.clone(),
                per_s,
                from,
                to: deployment.now(),
            });
            FaultScope::Upstream
        }
        Fault::KillUpstream(index, down) => {
            let upstream = upstream_at(deployment, index);
            deployment.take_down(&upstream);
            sleep(down).await;
            start_replacement(deployment, &upstream).await;
            sleep(KILLED_ENTRY_LIFETIME).await;
            deployment.end_upstream(&upstream);
            FaultScope::Upstream
        }
        Fault::LeaveUpstream(index) => {
            let upstream = upstream_at(deployment, index);
            leave(deployment, &upstream, Duration::ZERO).await;
            FaultScope::Upstream
        }
        Fault::LeaveUpstreamUnlisted(index, unlisted_for) => {
            let upstream = upstream_at(deployment, index);
            leave(deployment, &upstream, unlisted_for).await;
            FaultScope::Upstream
        }
        Fault::BackOffUpstream(index, backoff, time) => {
            let upstream = upstream_at(deployment, index);
            upstream.set_backoff(Some(backoff));
            sleep(time).await;
            upstream.set_backoff(None);
            FaultScope::Upstream
        }
        Fault::EvacuateDomain(domain, time) => {
            let name = format!("domain-{domain}");
            let kind = stand_in::EVACUATIONS_KIND;
            deployment.store.put(kind, &name, Value::Null);
            deployment.record_change(StoreChange::DomainEvacuated(domain));
            sleep(time).await;
            deployment.record_change(StoreChange::EvacuationEnded(domain));
            deployment.store.remove(kind, &name);
            return;
        }
        Fault::OddEntry(way, time) => {
            let name = format!("odd-{way}");
            let upstream = upstream_at(deployment, way);
            let spec = stand_in::odd_upstream_spec(
                way,
                upstream.service,
                &format!("domain-{}", upstream.domain),
                upstream.addr,
            );
            deployment.store.put(stand_in::UPSTREAMS_KIND, &name, spec);
            sleep(time).await;
            deployment.store.remove(stand_in::UPSTREAMS_KIND, &name);
            return;
        }
        Fault::Flood(flood, time) => {
            flood.run(deployment, time).await;
            FaultScope::Flood(flood.customer)
        }
        Fault::MoveRoute => {
            deployment.publish_manifest(|manifest_inputs| {
                manifest_inputs.moving_to = 1 - manifest_inputs.moving_to;
                Some(StoreChange::RouteMoved(
                    call::PLAIN_SERVICES[manifest_inputs.moving_to].to_owned(),
                ))
            });
            return;
        }
        Fault::RevokeKey(index) => {
            deployment.publish_manifest(|manifest_inputs| {
                let version = manifest_inputs.version;
                let count = manifest_inputs.customers.len();
                let (_, keys) = &mut manifest_inputs.customers[index % count];
                keys.push(format!("key-{}-{version}", index % count));
                Some(StoreChange::KeyRevoked(keys.remove(0)))
            });
            return;
        }
    };
    deployment.record_fault(&printed_fault, from, scope);
}

/// Starts the replacement of an upstream, which says from then on in its responses that it leaves,
/// after `unlisted_for` in the store as well, and ends later.
async fn leave(deployment: &Deployment, upstream: &UpstreamStandIn, unlisted_for: Duration) {
    start_replacement(deployment, upstream).await;
    upstream.start_leaving();
    sleep(unlisted_for).await;
    deployment.register_upstream(upstream, true);
    deployment.record_change(StoreChange::UpstreamLeaving(upstream.id.clone()));
    sleep(LEAVING_TIME).await;
    deployment.end_upstream(upstream);
}

/// Sets links to a mode for some time and opens them again. Where faults overlap on a link, the end
/// of any of them opens the link.
async fn set_link_mode_for(links: &[LinkProxy], mode: LinkMode, time: Duration) {
    for link in links {
        link.set_mode(mode);
    }
    sleep(time).await;
    for link in links {
        link.set_mode(LinkMode::Open);
    }
}

/// Returns the links to current upstreams that `is_selected` accepts, given the failure domain of
/// the hosts and that of the upstream.
fn upstream_links(
    deployment: &Deployment,
    is_selected: impl Fn(usize, usize) -> bool,
) -> Vec<LinkProxy> {
    let upstreams = lock(&deployment.upstreams).clone();
    let links = lock(&deployment.upstream_links);
    let selected = links.iter().filter(|((from, id), _)| {
        let upstream = upstreams.iter().find(|upstream| upstream.id == *id);
        upstream.is_some_and(|upstream| is_selected(*from, upstream.domain))
    });
    selected.map(|(_, link)| link.clone()).collect()
}

/// Returns the upstream with this number, modulo the number of upstreams.
fn upstream_at(deployment: &Deployment, index: usize) -> UpstreamStandIn {
    let upstreams = lock(&deployment.upstreams);
    upstreams[index % upstreams.len()].clone()
}

/// Starts a replacement for each engine that has crashed, for as long as the future is polled.
pub(crate) async fn replace_crashed(deployment: &Deployment) {
    loop {
        sleep(CRASH_CHECK_INTERVAL).await;
        let crashed = lock(&deployment.upstreams).clone();
        let crashed: Vec<UpstreamStandIn> = crashed
            .into_iter()
            .filter(UpstreamStandIn::is_down)
            .collect();
        for upstream in crashed {
            deployment.end_upstream(&upstream);
            start_replacement(deployment, &upstream).await;
        }
    }
}

/// Starts another upstream of the same service in the same failure domain.
async fn start_replacement(deployment: &Deployment, original: &UpstreamStandIn) {
    if let Err(err) = deployment
        .start_upstream(original.service, original.domain)
        .await
    {
        println!(
            "soak: failed to start a replacement of {}: {err}",
            original.id
        );
    }
}

/// Starts a host again once its process has exited, or gives up after about a second.
async fn restart_host(deployment: &Deployment, host: usize) {
    // Another fault may have started the host already.
    for _ in 0..50 {
        if start_if_exited(deployment, host) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a host unless its process is running. Returns whether the process was not running.
fn start_if_exited(deployment: &Deployment, host: usize) -> bool {
    let mut host = lock(&deployment.hosts[host]);
    if host.is_running() {
        return false;
    }
    if let Err(err) = host.start() {
        println!("soak: failed to start {}: {err}", host.conf.name);
    }
    true
}
