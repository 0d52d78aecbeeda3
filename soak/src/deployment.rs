//! A deployment on loopback: hosts, upstreams, the store, and the link proxies between them.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyanarch::decide::RetryBound;
use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::NodeConf;
use banyanarch_platform::stand_in::ProcessLimits;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::call;
use crate::history::FaultRecord;
use crate::history::FaultScope;
use crate::history::History;
use crate::history::StoreChange;
use crate::history::Timestamp;
use crate::host_process::HostProcess;
use crate::link_proxy::LinkProxy;
use crate::store::AddressMap;
use crate::store::StoreStandIn;
use crate::upstream::UpstreamMode;
use crate::upstream::UpstreamStandIn;

/// Number of failure domains.
pub(crate) const DOMAINS: usize = 3;
/// The largest drawn number of hosts of a failure domain.
const DOMAIN_HOSTS_MAX: usize = 8;
/// XORed with the seed of the run for the draw of the number of hosts.
const HOSTS_SEED_MASK: u64 = 0x0005_12E5;
/// Number of customers.
pub(crate) const CUSTOMERS: usize = 3;
/// How long a revoked key may still be accepted.
pub(crate) const REVOCATION_DELAY: Duration = Duration::from_secs(5);
/// Time from the stop signal until a host is killed.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);

/// The number of slots that upstreams state if they accept any number of requests.
const UNBOUNDED_SLOTS: u32 = 16;

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of each plain service.
    pub instances: usize,
}

impl DeploymentSize {
    /// Draws a number of hosts for a seed: one to [`DOMAIN_HOSTS_MAX`] in each failure domain.
    pub fn draw_hosts(seed: u64) -> usize {
        let mut rng = StdRng::seed_from_u64(seed ^ HOSTS_SEED_MASK);
        DOMAINS * rng.random_range(1..=DOMAIN_HOSTS_MAX)
    }
}

/// The inputs of the manifest that was published last.
#[derive(Clone, Debug)]
pub(crate) struct ManifestInputs {
    pub(crate) version: u64,
    /// Index in `PLAIN_SERVICES` of the target of the moving route.
    pub(crate) moving_to: usize,
    /// Customers with their keys.
    pub(crate) customers: Vec<(String, Vec<String>)>,
}

/// A running deployment.
pub(crate) struct Deployment {
    pub(crate) started_at: Instant,
    pub(crate) history: Arc<History>,
    pub(crate) store: StoreStandIn,
    pub(crate) hosts: Vec<Mutex<HostProcess>>,
    /// Link proxies from callers to each host.
    pub(crate) caller_links: Vec<LinkProxy>,
    /// Link proxies from each host to the store.
    pub(crate) store_links: Vec<LinkProxy>,
    /// Link proxies from each host to each other host, by the indexes of both.
    pub(crate) peer_links: IndexMap<(usize, usize), LinkProxy>,
    /// Link proxies from each failure domain to each upstream that was ever started. Hosts of a
    /// domain get lists from each other, so they use the same addresses.
    pub(crate) upstream_links: Mutex<IndexMap<(usize, String), LinkProxy>>,
    pub(crate) upstreams: Mutex<Vec<UpstreamStandIn>>,
    pub(crate) manifest_inputs: Mutex<ManifestInputs>,
    /// For each host the addresses of the link proxies that it uses in place of real addresses.
    address_maps: Vec<Arc<Mutex<AddressMap>>>,
    /// The number of requests that an upstream runs at once; none if it runs any number.
    slots: Option<u32>,
    /// Number of upstreams that were started, from which their ids are made.
    upstreams_started: Mutex<u32>,
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the loopback address with this index, which repeats from 250 on. The middle bytes come
/// from the process id, so that concurrent runs do not share addresses.
fn loopback_ip(index: usize) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(index % 250).unwrap_or(0) + 1;
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last))
}

/// Returns addresses of `ip` with different ports that are free at the moment.
async fn free_addrs<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut addrs = [SocketAddr::new(ip, 0); N];
    // A port that was released could be given again for the next address.
    let mut listeners = Vec::with_capacity(N);
    for addr in &mut addrs {
        let listener = TcpListener::bind(*addr).await?;
        *addr = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addrs)
}

impl Deployment {
    /// Starts a deployment with the daemon `program`. Each upstream runs at most `slots` requests
    /// at once, or any number if that is none. Hosts write their logs into `dir`.
    pub(crate) async fn start(
        size: DeploymentSize,
        slots: Option<u32>,
        retry_bound: RetryBound,
        limits: ProcessLimits,
        program: &Path,
        dir: &Path,
    ) -> io::Result<Arc<Self>> {
        let store = StoreStandIn::default();
        let links_ip = loopback_ip(249);
        let mut hosts = Vec::new();
        let mut caller_links = Vec::new();
        let mut store_links = Vec::new();
        let mut address_maps = Vec::new();
        for index in 0..size.hosts {
            let own_ip = loopback_ip(index);
            let addresses = Arc::new(Mutex::new(AddressMap::default()));
            let store_addr = store.serve(index, links_ip, Arc::clone(&addresses)).await?;
            let store_link = LinkProxy::start(links_ip, store_addr).await?;
            let [callers_addr, ready_addr, internal_addr] = free_addrs(own_ip).await?;
            let conf = NodeConf {
                name: format!("host-{index}"),
                domain: format!("domain-{}", index % DOMAINS),
                ip: own_ip,
                callers_addr,
                ready_addr,
                internal_port: internal_addr.port(),
                store_addr: store_link.addr,
                revocation_delay: REVOCATION_DELAY,
                stop_grace: STOP_GRACE,
                retry_bound,
                limits,
            };
            caller_links.push(LinkProxy::start(links_ip, conf.callers_addr).await?);
            hosts.push(Mutex::new(HostProcess::new(conf, program, dir)));
            store_links.push(store_link);
            address_maps.push(addresses);
        }
        let customers =
            (0..CUSTOMERS).map(|c| (format!("customer-{c}"), vec![format!("key-{c}-0")]));
        let mut deployment = Self {
            started_at: Instant::now(),
            history: Arc::default(),
            store,
            hosts,
            caller_links,
            store_links,
            peer_links: IndexMap::new(),
            upstream_links: Mutex::default(),
            upstreams: Mutex::default(),
            manifest_inputs: Mutex::new(ManifestInputs {
                version: 1,
                moving_to: 0,
                customers: customers.collect(),
            }),
            address_maps,
            slots,
            upstreams_started: Mutex::default(),
        };
        deployment.link_peers(links_ip).await?;
        let deployment = Arc::new(deployment);
        for index in 0..size.engines {
            deployment
                .start_upstream(call::ENGINE_SERVICE, index % DOMAINS)
                .await?;
        }
        for service in call::PLAIN_SERVICES {
            for index in 0..size.instances {
                deployment.start_upstream(service, index % DOMAINS).await?;
            }
        }
        deployment.publish_manifest(|_| None);
        for host in &deployment.hosts {
            lock(host).start()?;
        }
        Ok(deployment)
    }

    /// Starts the link proxies between hosts.
    async fn link_peers(&mut self, links_ip: IpAddr) -> io::Result<()> {
        for from in 0..self.hosts.len() {
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                let conf = lock(&self.hosts[to]).conf.clone();
                let target = SocketAddr::new(conf.ip, conf.internal_port);
                let link = LinkProxy::start(links_ip, target).await?;
                lock(&self.address_maps[from]).insert(target, link.addr);
                self.peer_links.insert((from, to), link);
            }
        }
        Ok(())
    }

    /// Starts an upstream with its link proxies and registers it in the store.
    pub(crate) async fn start_upstream(
        &self,
        service: &'static str,
        domain: usize,
    ) -> io::Result<()> {
        let number = {
            let mut started = lock(&self.upstreams_started);
            *started += 1;
            *started
        };
        let id = format!("u{number:03}");
        let history = Arc::clone(&self.history);
        let upstream = UpstreamStandIn::start(
            id.clone(),
            service,
            domain,
            loopback_ip(248),
            self.started_at,
            history,
        )
        .await?;
        if let Some(slots) = self.slots {
            upstream.set_slots(slots);
        }
        for from in 0..DOMAINS {
            let link = LinkProxy::start(loopback_ip(247), upstream.addr).await?;
            for host in (0..self.hosts.len()).filter(|host| host % DOMAINS == from) {
                lock(&self.address_maps[host]).insert(upstream.addr, link.addr);
            }
            lock(&self.upstream_links).insert((from, id.clone()), link);
        }
        self.register_upstream(&upstream, false);
        lock(&self.upstreams).push(upstream);
        Ok(())
    }

    /// The number of slots that upstreams state in the store and in the manifest.
    fn stated_slots(&self) -> u32 {
        self.slots.unwrap_or(UNBOUNDED_SLOTS)
    }

    /// Writes the entry of an upstream to the store.
    pub(crate) fn register_upstream(&self, upstream: &UpstreamStandIn, is_leaving: bool) {
        let domain = format!("domain-{}", upstream.domain);
        let slots = self.stated_slots();
        let (service, addr) = (upstream.service, upstream.addr);
        let spec = stand_in::upstream_spec(service, addr, &domain, slots, is_leaving);
        self.store.put(stand_in::UPSTREAMS_KIND, &upstream.id, spec);
    }

    /// Records the end of an upstream before callers can see it, and resets its connections.
    pub(crate) fn take_down(&self, upstream: &UpstreamStandIn) {
        let now = self.now();
        let id = upstream.id.clone();
        let mut observations = self.history.lock();
        observations.upstream_ends.entry(id).or_insert(now);
        upstream.set_mode(UpstreamMode::Down);
    }

    /// Ends an upstream for good, records its end and removes its entry from the store.
    pub(crate) fn end_upstream(&self, upstream: &UpstreamStandIn) {
        self.take_down(upstream);
        self.store.remove(stand_in::UPSTREAMS_KIND, &upstream.id);
        lock(&self.upstreams).retain(|other| other.id != upstream.id);
    }

    /// Applies `change` to the inputs of the manifest, publishes it under the next version and
    /// records the store change that `change` returns, if any.
    pub(crate) fn publish_manifest(
        &self,
        change: impl FnOnce(&mut ManifestInputs) -> Option<StoreChange>,
    ) {
        let mut manifest_inputs = lock(&self.manifest_inputs);
        let change = change(&mut manifest_inputs);
        manifest_inputs.version += 1;
        let moving_to = call::PLAIN_SERVICES[manifest_inputs.moving_to];
        let manifest = call::manifest(
            manifest_inputs.version,
            moving_to,
            self.stated_slots(),
            &manifest_inputs.customers,
        );
        let (kind, name) = stand_in::MANIFEST;
        self.store.put(kind, name, manifest.spec());
        if let Some(change) = change {
            self.record_change(change);
        }
    }

    /// Records a change that the store has just accepted.
    pub(crate) fn record_change(&self, change: StoreChange) {
        let now = self.now();
        self.history.lock().changes.push((now, change));
    }

    /// Returns the time since the start of the deployment.
    pub(crate) fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    /// Records and prints a fault that has just ended.
    pub(crate) fn record_fault(&self, fault: &str, from: Timestamp, scope: FaultScope) {
        let to = self.now();
        println!(
            "{:8.3} to {:8.3}  {fault}",
            from.as_secs_f64(),
            to.as_secs_f64()
        );
        self.history
            .lock()
            .faults
            .push(FaultRecord { from, to, scope });
    }
}
