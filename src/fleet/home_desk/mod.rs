//! The homes on this host, with their hands.

mod hands;
mod seen;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use log::info;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::cluster_view::ShardedMap;
use crate::control::home::GrantStatus;
use crate::control::home::HomeAnswer;
use crate::control::home::HomeConf;
use crate::control::home::HomeController;
use crate::control::home::HomeEvent;
use crate::control::status::EventLog;
use crate::decide::PoolKind;
use crate::decide::PoolLoad;
use crate::decide::UpstreamInfo;
use crate::decide::policy_for;
use crate::entry::UpstreamDirectory;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeMap;
use crate::fleet::LiveGrants;
use crate::peer::Peers;
use crate::settings::PolicyName;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// How many of a pool's candidates take requests: the home, and the one after it, which entry hosts
/// ask while the membership has not yet noticed that the home is dead.
const CANDIDATES_SERVING: usize = 2;

/// A home that is not the first candidate and was asked nothing for this long hands over: four times
/// as long as a host waits before it asks again. A home that stays beside the right one hears of
/// attempts from engines only, and not of their ends. If it is the home later, its ledger is full of
/// what ended long ago, and its engines look frozen.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// A home with nothing to wait for still looks after its graces this often.
const WAKE_MAX: Duration = Duration::from_millis(500);

/// One home.
struct Home {
    controller: Mutex<HomeController>,
    woken: Notify,
    asked_at: Mutex<Instant>,
    target: TargetId,
    is_service: bool,
    made_of: Mutex<(Generation, Vec<UpstreamInfo>)>,
}

/// The homes on this host.
pub struct HomeDesk {
    clock: Arc<dyn Clock>,
    host: HostId,
    cluster_view: Arc<ClusterView>,
    events: Arc<EventLog>,
    peers: Arc<dyn Peers>,
    map: Arc<dyn HomeMap>,
    upstreams: Arc<dyn UpstreamDirectory>,
    waiters: Arc<GrantWaiters>,
    live: Arc<LiveGrants>,
    policy: PolicyName,
    homes: ShardedMap<PoolId, Arc<Home>>,
    is_closed: AtomicBool,
}

/// What a desk works with.
pub struct HomeDeskParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This host.
    pub host: HostId,
    /// The blackboard.
    pub cluster_view: Arc<ClusterView>,
    /// What this host did lately.
    pub events: Arc<EventLog>,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// Which hosts are homes.
    pub map: Arc<dyn HomeMap>,
    /// Upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// This host's own requests that wait.
    pub waiters: Arc<GrantWaiters>,
    /// The grants that this host holds.
    pub live: Arc<LiveGrants>,
    /// The decisions.
    pub policy: PolicyName,
}

impl HomeDesk {
    /// A desk without homes; they are made when they are asked.
    pub fn new(parts: HomeDeskParts) -> Self {
        Self {
            clock: parts.clock,
            host: parts.host,
            cluster_view: parts.cluster_view,
            events: parts.events,
            peers: parts.peers,
            map: parts.map,
            upstreams: parts.upstreams,
            waiters: parts.waiters,
            live: parts.live,
            policy: parts.policy,
            homes: ShardedMap::new(),
            is_closed: AtomicBool::new(false),
        }
    }

    /// Handles what a host says to the home of a pool, and returns the reply to a request.
    pub fn handle(self: &Arc<Self>, pool: &PoolId, event: HomeEvent) -> Option<HomeAnswer> {
        let home = match &event {
            HomeEvent::Request { from, .. } => self.home_to_ask(pool, from),
            HomeEvent::Announce { from, .. } => self.home_to_ask(pool, from),
            _ => self.homes.get(pool),
        };
        let Some(home) = home else {
            return not_home(&event);
        };
        if matches!(event, HomeEvent::Request { .. }) {
            *lock(&home.asked_at) = self.clock.now();
        }
        self.tell(pool, &home, event)
    }

    /// Whether the home of a pool is here.
    pub fn has(&self, pool: &PoolId) -> bool {
        self.homes.get(pool).is_some()
    }

    /// Passes something on to every home.
    pub fn tell_all(self: &Arc<Self>, event: &HomeEvent) {
        for (pool, home) in self.homes.snapshot() {
            self.tell(&pool, &home, event.clone());
        }
    }

    /// Passes something on to the homes of one upstream.
    pub fn tell_of_upstream(self: &Arc<Self>, upstream: &UpstreamId, event: &HomeEvent) {
        for (pool, home) in self.homes.snapshot() {
            let is_member = lock(&home.made_of)
                .1
                .iter()
                .any(|seen| seen.id == *upstream);
            if is_member {
                self.tell(&pool, &home, event.clone());
            }
        }
    }

    /// The pools that have their home here, with their load.
    pub fn pools(&self) -> Vec<(PoolId, PoolLoad)> {
        let now = self.clock.now();
        let load = |(pool, home): (PoolId, Arc<Home>)| {
            let load = lock(&home.controller).load(now);
            (pool, load)
        };
        self.homes.snapshot().into_iter().map(load).collect()
    }

    /// Takes in changes of the upstreams, of the manifest and of who is home.
    pub fn refresh(self: &Arc<Self>) {
        if self.policy == PolicyName::Shipped {
            self.take_over();
        }
        for (pool, home) in self.homes.snapshot() {
            self.refresh_home(&pool, &home);
            let is_idle = self.clock.now() >= *lock(&home.asked_at) + IDLE_MAX;
            let is_first = self.map.candidates(&pool).first() == Some(&self.host);
            if is_idle && !is_first {
                self.close(&pool, &home);
            }
        }
    }

    /// A home has to be there even if nobody asks for grants: when an earlier home has died with the
    /// last requests, their attempts hold memory until someone looks.
    fn take_over(self: &Arc<Self>) {
        for pool in self.map.homes_here() {
            if !self.has(&pool) && !self.is_closed.load(Ordering::SeqCst) {
                self.make(&pool);
            }
        }
    }

    /// Hands all homes over and takes no new ones: this host drains.
    pub fn shut_down(self: &Arc<Self>) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.hand_over();
    }

    /// Hands all homes over: what this host holds may be someone else's by now.
    pub fn hand_over(self: &Arc<Self>) {
        for (pool, home) in self.homes.snapshot() {
            self.close(&pool, &home);
        }
    }

    fn close(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
        info!("homes: hand over pool {pool}");
        self.events.record(
            "homes",
            &format!("handed over {pool}"),
            "another host is its home",
        );
        self.tell(pool, home, HomeEvent::HandOver);
        self.homes.remove(pool);
        home.woken.notify_one();
    }

    fn home_to_ask(self: &Arc<Self>, pool: &PoolId, from: &HostId) -> Option<Arc<Home>> {
        if let Some(home) = self.homes.get(pool) {
            return Some(home);
        }
        let candidates = self.map.candidates(pool);
        let serving = candidates.iter().take(CANDIDATES_SERVING);
        let is_serving = serving.clone().any(|host| *host == self.host);
        // This host's own requests come here last of all, when no candidate answers.
        let is_open = !self.is_closed.load(Ordering::SeqCst);
        if (is_serving && is_open) || *from == self.host {
            self.make(pool)
        } else {
            None
        }
    }

    fn make(self: &Arc<Self>, pool: &PoolId) -> Option<Arc<Home>> {
        let target = pool.target()?;
        let in_force = self.cluster_view.manifest()?;
        let upstreams = self.upstreams_seen(pool, &target)?;
        let conf = self.policy_config(pool, &target)?;
        let now = self.clock.now();
        let policy = policy_for(self.policy, &conf, rand::random());
        let controller = HomeController::new(pool.clone(), policy, self.home_conf(), now);
        let home = Arc::new(Home {
            controller: Mutex::new(controller),
            woken: Notify::new(),
            asked_at: Mutex::new(now),
            is_service: matches!(conf.kind, PoolKind::Service { .. }),
            target,
            made_of: Mutex::new((in_force.generation, upstreams.clone())),
        });
        let made = self
            .homes
            .upsert(pool, || Arc::clone(&home), |home| Arc::clone(home));
        if Arc::ptr_eq(&made, &home) {
            info!("homes: this host is the home of pool {pool}");
            self.events.record(
                "homes",
                &format!("took over {pool}"),
                "first of its candidates",
            );
            self.tell_hosts(pool, &home);
            self.tell(pool, &home, HomeEvent::Upstreams(upstreams));
            tokio::spawn(Arc::clone(self).keep(pool.clone(), home));
        }
        Some(made)
    }

    /// Tells a new home which hosts of its failure domain there are: it waits for the announcements
    /// of the living ones, and ends what dead ones have left behind.
    fn tell_hosts(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
        let domain = pool.domain();
        for (id, view) in self.cluster_view.hosts.snapshot() {
            if domain.as_ref() != Some(&view.domain) {
                continue;
            }
            let event = match view.state {
                HostState::Dead => HomeEvent::HostDead(id),
                HostState::Alive | HostState::Suspect | HostState::Leaving => {
                    HomeEvent::HostAlive(id)
                }
            };
            self.tell(pool, home, event);
        }
    }

    /// A baseline has no earlier home whose ledger it would have to rebuild.
    fn home_conf(&self) -> HomeConf {
        let mut conf = HomeConf::default();
        if self.policy != PolicyName::Shipped {
            conf.rebuild_max = Duration::ZERO;
        }
        conf
    }

    fn refresh_home(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
        let Some(in_force) = self.cluster_view.manifest() else {
            return;
        };
        let Some(upstreams) = self.upstreams_seen(pool, &home.target) else {
            return;
        };
        let before = lock(&home.made_of).clone();
        if before.1 != upstreams {
            *lock(&home.made_of) = (before.0, upstreams.clone());
            self.tell(pool, home, HomeEvent::Upstreams(upstreams));
        }
        if before.0 != in_force.generation {
            lock(&home.made_of).0 = in_force.generation;
            self.tell_config(pool, home);
        }
    }

    /// A home keeps its queue and its ledger through a new manifest: its policy takes in the new
    /// configuration.
    fn tell_config(&self, pool: &PoolId, home: &Arc<Home>) {
        if let Some(conf) = self.policy_config(pool, &home.target) {
            lock(&home.controller).set_config(&conf, self.clock.now());
        }
    }
}

fn not_home(event: &HomeEvent) -> Option<HomeAnswer> {
    match event {
        HomeEvent::Request { work, .. } => Some(HomeAnswer {
            request: work.request,
            status: GrantStatus::NotHome,
        }),
        _ => None,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
