//! The homes on this host.
//!
//! A home decides on the requests of one pool. Its [`HomeController`] is a state machine without
//! I/O; the [`HomeRunner`] gives it events and performs the actions that it returns.

mod actions;
mod pool_inputs;

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
use crate::fleet::HomeDirectory;
use crate::fleet::LiveGrants;
use crate::peer::PeerTransport;
use crate::settings::PolicyName;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// How many candidates of a pool accept requests: the home, and the candidate after it, which entry
/// hosts ask while the membership has not yet noticed that the home is dead.
const SERVING_CANDIDATES_MAX: usize = 2;

/// How long a home that is not the first candidate may get no request before it hands over: four
/// times the interval at which a waiting request asks again. If such a home stayed open beside the
/// first candidate, it would learn from engines that attempts run, but not that they end. If it
/// became the home later, its ledger would hold attempts that ended long ago, and its engines would
/// look frozen.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// The longest time between two ticks of a home. A home that waits for nothing still has to check
/// its grace periods.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// The home of one pool on this host.
struct Home {
    controller: Mutex<HomeController>,
    /// Notified after each event, since the next tick may be due earlier than before.
    wake_notify: Notify,
    /// When the last request for a grant arrived.
    last_request_at: Mutex<Instant>,
    target: TargetId,
    is_service: bool,
    /// The generation and the upstreams that the controller knows.
    inputs: Mutex<(Generation, Vec<UpstreamInfo>)>,
}

/// Runs the homes on this host: creates them when they are needed, passes events to them, and
/// closes them when another host is the home.
pub struct HomeRunner {
    clock: Arc<dyn Clock>,
    host: HostId,
    cluster_view: Arc<ClusterView>,
    events: Arc<EventLog>,
    peers: Arc<dyn PeerTransport>,
    home_directory: Arc<dyn HomeDirectory>,
    upstreams: Arc<dyn UpstreamDirectory>,
    waiters: Arc<GrantWaiters>,
    live_grants: Arc<LiveGrants>,
    policy: PolicyName,
    homes: ShardedMap<PoolId, Arc<Home>>,
    is_closed: AtomicBool,
}

/// The dependencies of a [`HomeRunner`].
pub struct HomeRunnerParts {
    /// The clock of this host.
    pub clock: Arc<dyn Clock>,
    /// The id of this host.
    pub host: HostId,
    /// The cluster view, with the manifest in force, the hosts and the upstreams.
    pub cluster_view: Arc<ClusterView>,
    /// The log of recent events, which records each home that is created or handed over.
    pub events: Arc<EventLog>,
    /// The transport to other hosts.
    pub peers: Arc<dyn PeerTransport>,
    /// The directory of pools and their homes.
    pub home_directory: Arc<dyn HomeDirectory>,
    /// The clients of upstreams.
    pub upstreams: Arc<dyn UpstreamDirectory>,
    /// The requests of this host that wait for a decision.
    pub waiters: Arc<GrantWaiters>,
    /// The live grants of this host.
    pub live_grants: Arc<LiveGrants>,
    /// The policy by which homes decide.
    pub policy: PolicyName,
}

impl HomeRunner {
    /// A runner without homes; they are created when they are needed.
    pub fn new(parts: HomeRunnerParts) -> Self {
        Self {
            clock: parts.clock,
            host: parts.host,
            cluster_view: parts.cluster_view,
            events: parts.events,
            peers: parts.peers,
            home_directory: parts.home_directory,
            upstreams: parts.upstreams,
            waiters: parts.waiters,
            live_grants: parts.live_grants,
            policy: parts.policy,
            homes: ShardedMap::new(),
            is_closed: AtomicBool::new(false),
        }
    }

    /// Passes an event from a host to the home of a pool, and returns the reply to a request.
    /// Creates the home for a request or an announcement if this host may serve the pool. Without a
    /// home, the reply to a request is [`GrantStatus::NotHome`], and other events are ignored.
    pub fn handle(self: &Arc<Self>, pool: &PoolId, event: HomeEvent) -> Option<HomeAnswer> {
        let home = match &event {
            HomeEvent::Request { from, .. } => self.find_or_create(pool, from),
            HomeEvent::Announce { from, .. } => self.find_or_create(pool, from),
            _ => self.homes.get(pool),
        };
        let Some(home) = home else {
            return not_home_answer(&event);
        };
        if matches!(event, HomeEvent::Request { .. }) {
            *lock(&home.last_request_at) = self.clock.now();
        }
        self.send_event(pool, &home, event)
    }

    /// Whether this host runs a home of a pool.
    pub fn has_home(&self, pool: &PoolId) -> bool {
        self.homes.get(pool).is_some()
    }

    /// Passes an event to every home on this host.
    pub fn send_to_all_homes(self: &Arc<Self>, event: &HomeEvent) {
        for (pool, home) in self.homes.snapshot() {
            self.send_event(&pool, &home, event.clone());
        }
    }

    /// Passes an event to the homes on this host whose pools contain an upstream.
    pub fn send_to_homes_of_upstream(self: &Arc<Self>, upstream: &UpstreamId, event: &HomeEvent) {
        for (pool, home) in self.homes.snapshot() {
            let is_member = lock(&home.inputs).1.iter().any(|info| info.id == *upstream);
            if is_member {
                self.send_event(&pool, &home, event.clone());
            }
        }
    }

    /// The pools that have a home on this host, with their load.
    pub fn pool_loads(&self) -> Vec<(PoolId, PoolLoad)> {
        let now = self.clock.now();
        let load = |(pool, home): (PoolId, Arc<Home>)| {
            let load = lock(&home.controller).load(now);
            (pool, load)
        };
        self.homes.snapshot().into_iter().map(load).collect()
    }

    /// Passes changes of upstreams and of the manifest to the homes, creates missing homes, and
    /// hands over idle homes of which this host is not the first candidate.
    pub fn refresh(self: &Arc<Self>) {
        if self.policy == PolicyName::Shipped {
            self.create_missing_homes();
        }
        for (pool, home) in self.homes.snapshot() {
            self.update_inputs(&pool, &home);
            let is_idle = self.clock.now() >= *lock(&home.last_request_at) + IDLE_MAX;
            let is_first = self.home_directory.candidates(&pool).first() == Some(&self.host);
            if is_idle && !is_first {
                self.close(&pool, &home);
            }
        }
    }

    /// Creates the homes of pools whose first candidate is this host. A home is needed even if no
    /// host requests grants: if an earlier home died together with the last entry hosts, their
    /// attempts keep memory at engines until a home ends them.
    fn create_missing_homes(self: &Arc<Self>) {
        for pool in self.home_directory.pools_with_local_home() {
            if !self.has_home(&pool) && !self.is_closed.load(Ordering::SeqCst) {
                self.create(&pool);
            }
        }
    }

    /// Hands over all homes and creates no new ones, because this host drains. A request of this
    /// host itself can still create one.
    pub fn shut_down(self: &Arc<Self>) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.hand_over_all();
    }

    /// Hands over all homes, because other hosts may have become the homes of their pools.
    pub fn hand_over_all(self: &Arc<Self>) {
        for (pool, home) in self.homes.snapshot() {
            self.close(&pool, &home);
        }
    }

    /// Hands over one home, removes it and stops its ticks.
    fn close(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
        info!("homes: handing over pool {pool}");
        self.events.record(
            "homes",
            &format!("handed over {pool}"),
            "another host is its home",
        );
        self.send_event(pool, home, HomeEvent::HandOver);
        self.homes.remove(pool);
        home.wake_notify.notify_one();
    }

    /// The home of a pool for an event of host `from`. The home is created if this host is one of
    /// the serving candidates, or if the event is its own; otherwise none.
    fn find_or_create(self: &Arc<Self>, pool: &PoolId, from: &HostId) -> Option<Arc<Home>> {
        if let Some(home) = self.homes.get(pool) {
            return Some(home);
        }
        let candidates = self.home_directory.candidates(pool);
        let serving = candidates.iter().take(SERVING_CANDIDATES_MAX);
        let is_serving = serving.clone().any(|host| *host == self.host);
        // A request of this host itself is accepted in any case: it is sent here only after no
        // other candidate has replied.
        let is_open = !self.is_closed.load(Ordering::SeqCst);
        if (is_serving && is_open) || *from == self.host {
            self.create(pool)
        } else {
            None
        }
    }

    /// Creates the home of a pool and starts its ticks. Returns the existing home if there is one,
    /// and none while the manifest or the cluster view lacks the target.
    fn create(self: &Arc<Self>, pool: &PoolId) -> Option<Arc<Home>> {
        let target = pool.target()?;
        let in_force = self.cluster_view.manifest()?;
        let upstreams = self.pool_upstreams(pool, &target)?;
        let conf = self.policy_config(pool, &target)?;
        let now = self.clock.now();
        let policy = policy_for(self.policy, &conf, rand::random());
        let controller = HomeController::new(pool.clone(), policy, self.home_conf(), now);
        let home = Arc::new(Home {
            controller: Mutex::new(controller),
            wake_notify: Notify::new(),
            last_request_at: Mutex::new(now),
            is_service: matches!(conf.kind, PoolKind::Service { .. }),
            target,
            inputs: Mutex::new((in_force.generation, upstreams.clone())),
        });
        let stored = self
            .homes
            .upsert(pool, || Arc::clone(&home), |home| Arc::clone(home));
        if Arc::ptr_eq(&stored, &home) {
            info!("homes: this host is the home of pool {pool}");
            self.events.record(
                "homes",
                &format!("took over {pool}"),
                "this host may serve the pool",
            );
            self.send_host_states(pool, &home);
            self.send_event(pool, &home, HomeEvent::Upstreams(upstreams));
            tokio::spawn(Arc::clone(self).run_ticks(pool.clone(), home));
        }
        Some(stored)
    }

    /// Passes the states of the hosts of its failure domain to a new home. The home waits for the
    /// announcements of live hosts, and ends the attempts that dead hosts have left.
    fn send_host_states(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
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
            self.send_event(pool, home, event);
        }
    }

    /// The configuration of a home. With a baseline policy there is no earlier home whose ledger
    /// would have to be rebuilt.
    fn home_conf(&self) -> HomeConf {
        let mut conf = HomeConf::default();
        if self.policy != PolicyName::Shipped {
            conf.rebuild_max = Duration::ZERO;
        }
        conf
    }

    /// Passes changes of the upstreams and of the manifest to one home.
    fn update_inputs(self: &Arc<Self>, pool: &PoolId, home: &Arc<Home>) {
        let Some(in_force) = self.cluster_view.manifest() else {
            return;
        };
        let Some(upstreams) = self.pool_upstreams(pool, &home.target) else {
            return;
        };
        let before = lock(&home.inputs).clone();
        if before.1 != upstreams {
            *lock(&home.inputs) = (before.0, upstreams.clone());
            self.send_event(pool, home, HomeEvent::Upstreams(upstreams));
        }
        if before.0 != in_force.generation {
            lock(&home.inputs).0 = in_force.generation;
            self.update_config(pool, home);
        }
    }

    /// Sets the configuration of the current manifest in the policy of a home. The queue and the
    /// ledger of the home stay as they are.
    fn update_config(&self, pool: &PoolId, home: &Arc<Home>) {
        if let Some(conf) = self.policy_config(pool, &home.target) {
            lock(&home.controller).set_config(&conf, self.clock.now());
        }
    }
}

/// The answer to a request that reached a host which is not the home; none for other events.
fn not_home_answer(event: &HomeEvent) -> Option<HomeAnswer> {
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
