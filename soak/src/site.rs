//! A deployment on loopback: hosts, upstreams, the store, and a link before each of them.

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

use banyanarch_platform::stand_in;
use banyanarch_platform::stand_in::NodeConf;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::call;
use crate::history::At;
use crate::history::Change;
use crate::history::History;
use crate::history::Scope;
use crate::history::Trouble;
use crate::host::Host;
use crate::link::Link;
use crate::store::SeenAs;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::upstream::UpstreamState;

/// Failure domains.
pub(crate) const DOMAINS: usize = 3;
/// How long a key that was taken back may go on being used.
pub(crate) const REVOKE_AFTER: Duration = Duration::from_secs(5);
/// From the signal to stop until a host is killed.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Hosts.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Instances of each plain service.
    pub instances: usize,
}

/// What the operator has published last.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) version: u64,
    pub(crate) moving_to: usize,
    /// Customers with their keys.
    pub(crate) customers: Vec<(String, Vec<String>)>,
}

/// A deployment.
pub(crate) struct Site {
    pub(crate) began: Instant,
    pub(crate) history: Arc<History>,
    pub(crate) store: Store,
    pub(crate) hosts: Vec<Mutex<Host>>,
    /// Before the hosts' ports for callers.
    pub(crate) caller_links: Vec<Link>,
    /// From each host to the store.
    pub(crate) store_links: Vec<Link>,
    /// From each host to each other host.
    pub(crate) peer_links: IndexMap<(usize, usize), Link>,
    /// From each failure domain to each upstream that was ever started.
    pub(crate) upstream_links: Mutex<IndexMap<(usize, String), Link>>,
    pub(crate) upstreams: Mutex<Vec<Upstream>>,
    pub(crate) published: Mutex<Published>,
    seen_as: Vec<Arc<Mutex<SeenAs>>>,
    started: Mutex<u32>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address of loopback that only this process uses, so that runs beside one another do not meet.
fn ip(last: usize) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(last % 250).unwrap_or(0) + 1;
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last))
}

async fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0)).await?.local_addr()
}

impl Site {
    /// Starts a deployment; its hosts write their logs into `dir`.
    pub(crate) async fn start(size: Size, program: &Path, dir: &Path) -> io::Result<Arc<Self>> {
        let store = Store::default();
        let links_ip = ip(249);
        let mut hosts = Vec::new();
        let mut caller_links = Vec::new();
        let mut store_links = Vec::new();
        let mut seen_as = Vec::new();
        for index in 0..size.hosts {
            let own_ip = ip(index);
            let seen = Arc::new(Mutex::new(SeenAs::default()));
            let store_addr = store.serve(links_ip, Arc::clone(&seen)).await?;
            let store_link = Link::start(links_ip, store_addr).await?;
            let plan = NodeConf {
                name: format!("host-{index}"),
                domain: format!("domain-{}", index % DOMAINS),
                ip: own_ip,
                callers_addr: free_port(own_ip).await?,
                ready_addr: free_port(own_ip).await?,
                internal_port: free_port(own_ip).await?.port(),
                store_addr: store_link.addr,
                revocation_delay: REVOKE_AFTER,
                stop_grace: STOP_GRACE,
            };
            caller_links.push(Link::start(links_ip, plan.callers_addr).await?);
            hosts.push(Mutex::new(Host::new(plan, program, dir)));
            store_links.push(store_link);
            seen_as.push(seen);
        }
        let customers = (0..3).map(|c| (format!("customer-{c}"), vec![format!("key-{c}-0")]));
        let mut site = Self {
            began: Instant::now(),
            history: Arc::default(),
            store,
            hosts,
            caller_links,
            store_links,
            peer_links: IndexMap::new(),
            upstream_links: Mutex::default(),
            upstreams: Mutex::default(),
            published: Mutex::new(Published {
                version: 1,
                moving_to: 0,
                customers: customers.collect(),
            }),
            seen_as,
            started: Mutex::default(),
        };
        site.link_peers(links_ip).await?;
        let site = Arc::new(site);
        for index in 0..size.engines {
            site.start_upstream(call::ENGINES, index % DOMAINS).await?;
        }
        for service in call::MOVING {
            for index in 0..size.instances {
                site.start_upstream(service, index % DOMAINS).await?;
            }
        }
        site.publish(|_| None);
        for host in &site.hosts {
            lock(host).start()?;
        }
        Ok(site)
    }

    async fn link_peers(&mut self, links_ip: IpAddr) -> io::Result<()> {
        for from in 0..self.hosts.len() {
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                let plan = lock(&self.hosts[to]).plan.clone();
                let target = SocketAddr::new(plan.ip, plan.internal_port);
                let link = Link::start(links_ip, target).await?;
                lock(&self.seen_as[from]).insert(target, link.addr);
                self.peer_links.insert((from, to), link);
            }
        }
        Ok(())
    }

    /// Starts an upstream and puts it on the list.
    pub(crate) async fn start_upstream(
        &self,
        service: &'static str,
        domain: usize,
    ) -> io::Result<()> {
        let number = {
            let mut started = lock(&self.started);
            *started += 1;
            *started
        };
        let id = format!("u{number:03}");
        let history = Arc::clone(&self.history);
        let upstream =
            Upstream::start(id.clone(), service, domain, ip(248), self.began, history).await?;
        for from in 0..DOMAINS {
            let link = Link::start(ip(247), upstream.addr).await?;
            for host in (0..self.hosts.len()).filter(|host| host % DOMAINS == from) {
                lock(&self.seen_as[host]).insert(upstream.addr, link.addr);
            }
            lock(&self.upstream_links).insert((from, id.clone()), link);
        }
        self.list(&upstream, false);
        lock(&self.upstreams).push(upstream);
        Ok(())
    }

    /// Writes an upstream's entry.
    pub(crate) fn list(&self, upstream: &Upstream, is_leaving: bool) {
        let domain = format!("domain-{}", upstream.domain);
        let spec = stand_in::upstream_spec(upstream.service, upstream.addr, &domain, is_leaving);
        self.store.put(stand_in::UPSTREAMS_KIND, &upstream.id, spec);
    }

    /// Ends an upstream, and takes it off the list.
    pub(crate) fn end_upstream(&self, upstream: &Upstream) {
        upstream.set(UpstreamState::Down);
        let now = self.now();
        self.history
            .seen()
            .upstream_ends
            .insert(upstream.id.clone(), now);
        self.store.remove(stand_in::UPSTREAMS_KIND, &upstream.id);
        lock(&self.upstreams).retain(|other| other.id != upstream.id);
    }

    /// Publishes a manifest with a change.
    pub(crate) fn publish(&self, change: impl FnOnce(&mut Published) -> Option<Change>) {
        let mut published = lock(&self.published);
        let change = change(&mut published);
        published.version += 1;
        let moving_to = call::MOVING[published.moving_to];
        let plan = call::manifest(published.version, moving_to, &published.customers);
        let (kind, name) = stand_in::MANIFEST;
        self.store.put(kind, name, plan.spec());
        if let Some(change) = change {
            self.note(change);
        }
    }

    /// Notes a change that the store has just accepted.
    pub(crate) fn note(&self, change: Change) {
        let now = self.now();
        self.history.seen().changes.push((now, change));
    }

    pub(crate) fn now(&self) -> At {
        self.began.elapsed()
    }

    /// Notes a fault that has just ended.
    pub(crate) fn note_trouble(&self, what: &str, from: At, scope: Scope) {
        let to = self.now();
        println!(
            "{:8.3} to {:8.3}  {what}",
            from.as_secs_f64(),
            to.as_secs_f64()
        );
        self.history
            .seen()
            .troubles
            .push(Trouble { from, to, scope });
    }
}
