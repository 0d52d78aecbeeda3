//! What all requests of a host share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::decide::HealthBook;
use crate::decide::LoadLedger;
use crate::decide::Poison;
use crate::decide::PoisonList;
use crate::decide::RetryWindow;
use crate::exchange::NewsRoute;
use crate::gateway::Call;
use crate::gateway::DecisionLog;
use crate::gateway::Dialect;
use crate::gateway::DrainPhase;
use crate::gateway::EngineClient;
use crate::gateway::Event;
use crate::gateway::GatewayConf;
use crate::gateway::Meters;
use crate::gateway::PlatformView;
use crate::gateway::catalog_sharing::CatalogCache;
use crate::gateway::catalog_sharing::ReaderSelector;
use crate::gateway::rate_limits::RateLimits;
use crate::gateway::slowdowns::Slowdowns;
use crate::gateway::upstream_incarnations::UpstreamIncarnations;
use crate::units::ServiceId;

/// Crashes after which a request is refused. Callers here have no key that tells their requests
/// apart, so requests with the same content that ran beside one another when an upstream died count
/// as one: two deaths can be chance, three in a row without an answer are not.
const CRASHES_MAX: usize = 3;
/// How long such a request is refused after its last crash. Short, for a request that was marked by
/// chance is served again then; one that does crash its upstream is marked again at once.
const POISON_KEPT_FOR: Duration = Duration::from_secs(30);

/// How long a crash is told to the other hosts: four or more messages, of which three may be lost.
/// Each host tells only what it has seen itself; told on by all, a day of lost answers made a
/// gigabyte of news.
const CRASH_TOLD_FOR: Duration = Duration::from_secs(1);
/// The shared state of one host, in parts under their own locks. No lock is held across a wait.
pub struct Gateway {
    /// The settings.
    pub conf: GatewayConf,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The headers of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Orders to engines.
    pub orders: Arc<dyn EngineClient>,
    /// What is taken to be true.
    pub platform_view: PlatformView,
    /// The decision log.
    pub log: DecisionLog,
    /// The metrics.
    pub meters: Meters,
    ledger: Mutex<LoadLedger>,
    health: Mutex<HealthBook>,
    retries: Mutex<IndexMap<ServiceId, RetryWindow>>,
    poison: Mutex<PoisonList>,
    pub(crate) started_at: Instant,
    stop_asked: watch::Sender<Option<Instant>>,
    in_flight: AtomicU64,
    /// Notified when this host's work at upstreams changes.
    pub(crate) load_changed: Notify,
    /// Notified when an upstream could not be reached.
    pub(crate) health_changed: Notify,
    /// Notified when the others have to hear of it at once.
    pub(crate) load_urgent: Notify,
    /// Drawn at the start; tells this life of the host from earlier ones.
    pub(crate) incarnation: u64,
    /// What was read last, for other hosts that ask.
    pub(crate) catalog_cache: CatalogCache,
    /// UpstreamIncarnations of upstreams that are over.
    pub(crate) incarnations: UpstreamIncarnations,
    /// Notified when the host that reads for this one has another manifest.
    pub(crate) routes_news: Notify,
    /// Notified when it has other upstreams.
    pub(crate) upstreams_news: Notify,
    /// Notified when a host was heard that is not on the list.
    pub(crate) hosts_news: Notify,
    pub(crate) news_sent: AtomicU64,
    news_route: Mutex<NewsRoute>,
    logged_route: Mutex<NewsRoute>,
    /// Which host reads the platform for this one.
    pub(crate) reader_selector: ReaderSelector,
    /// Which engines are slow.
    pub(crate) slowdowns: Slowdowns,
    /// Which upstreams take only so many requests a second.
    pub(crate) rate_limits: RateLimits,
    crashes: Mutex<VecDeque<(Instant, Poison)>>,
}

impl Gateway {
    /// The shared state of a host that knows nothing yet.
    pub fn new(
        conf: GatewayConf,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        orders: Arc<dyn EngineClient>,
        log: DecisionLog,
        meters: Meters,
    ) -> Self {
        let started_at = clock.now();
        Self {
            started_at,
            conf,
            clock,
            dialect,
            orders,
            platform_view: PlatformView::default(),
            log,
            meters,
            ledger: Mutex::default(),
            health: Mutex::default(),
            retries: Mutex::default(),
            poison: Mutex::new(PoisonList::with_bounds(CRASHES_MAX, POISON_KEPT_FOR)),
            stop_asked: watch::Sender::new(None),
            in_flight: AtomicU64::new(0),
            load_changed: Notify::new(),
            load_urgent: Notify::new(),
            health_changed: Notify::new(),
            incarnation: rand::random(),
            catalog_cache: CatalogCache::default(),
            incarnations: UpstreamIncarnations::default(),
            routes_news: Notify::new(),
            upstreams_news: Notify::new(),
            hosts_news: Notify::new(),
            news_sent: AtomicU64::new(0),
            news_route: Mutex::default(),
            logged_route: Mutex::default(),
            reader_selector: ReaderSelector::default(),
            slowdowns: Slowdowns::default(),
            rate_limits: RateLimits::new(started_at),
            crashes: Mutex::default(),
        }
    }

    /// The work of all hosts at upstreams.
    pub fn ledger(&self) -> MutexGuard<'_, LoadLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this host has seen of upstreams' faults.
    pub fn health(&self) -> MutexGuard<'_, HealthBook> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// By which way news of other hosts come.
    pub(crate) fn news_route(&self) -> NewsRoute {
        let route = self.news_route.lock();
        route.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The way that the decision log has told last.
    pub(crate) fn logged_route(&self) -> NewsRoute {
        let route = self.logged_route.lock();
        route.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_logged_route(&self, route: NewsRoute) {
        let logged = self.logged_route.lock();
        *logged.unwrap_or_else(PoisonError::into_inner) = route;
    }

    pub(crate) fn set_news_route(&self, route: NewsRoute) {
        let mut current = self
            .news_route
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = route;
    }

    /// Requests that crash upstreams.
    pub fn poison(&self) -> MutexGuard<'_, PoisonList> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in crashes that this host has seen, to be told to the others.
    pub(crate) fn tell_crashes(&self, crashes: Vec<Poison>) {
        let now = self.clock.now();
        let mut told = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        told.extend(crashes.into_iter().map(|poison| (now, poison)));
        drop(told);
        self.load_changed.notify_one();
    }

    /// The crashes that this host has seen lately.
    pub(crate) fn crashes_to_tell(&self) -> Vec<Poison> {
        let now = self.clock.now();
        let mut told = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        told.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_TOLD_FOR);
        told.iter().map(|(_, poison)| poison.clone()).collect()
    }

    /// Takes in that a caller's request goes to a service.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let window = retries.entry(service.clone()).or_default();
        window.on_request(&self.conf.retry_bound, now);
    }

    /// Takes one retry for a service out of this host's share of the budget.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let hosts = self.platform_view.hosts().len();
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let window = retries.entry(service.clone()).or_default();
        window.try_retry(&self.conf.retry_bound, hosts, now)
    }

    /// Whether a call may be sent right now: its key is still in force, and this host's knowledge
    /// of that is fresh enough. Asked right before each send, since a call may have waited.
    pub fn may_send(&self, call: &Call) -> bool {
        if call.customer.is_none() {
            return true;
        }
        let now = self.clock.since_boot();
        self.platform_view
            .freshness()
            .holds_lease(self.conf.key_lease, now)
            && self.knows_key(call)
    }

    fn knows_key(&self, call: &Call) -> bool {
        let routes = self.platform_view.routes();
        let key = call.head.key.as_deref().unwrap_or_default();
        routes.is_some_and(|routes| routes.keys.customer(key) == call.customer.as_ref())
    }

    /// How old the manifest is.
    pub fn manifest_age(&self) -> Option<Duration> {
        self.platform_view.freshness().age(self.clock.since_boot())
    }

    /// Whether the balancer may send connections here.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.since_boot();
        self.phase() == DrainPhase::Serving
            && self.platform_view.routes().is_some()
            && self.platform_view.upstreams().is_some()
            && self
                .platform_view
                .freshness()
                .holds_lease(self.conf.key_lease, now)
    }

    /// Begins to stop.
    pub fn begin_stop(&self) {
        let now = self.clock.now();
        let begun = self.stop_asked.send_if_modified(|asked| {
            let is_first = asked.is_none();
            asked.get_or_insert(now);
            is_first
        });
        if begun {
            let in_flight = self.in_flight();
            self.log.note(Event::Stopping { in_flight });
        }
    }

    /// Waits until the host is asked to stop.
    pub async fn stop_begun(&self) {
        let mut asked = self.stop_asked.subscribe();
        // Fails only when the sender is gone, which lives as long as this host.
        let _ = asked.wait_for(Option::is_some).await;
    }

    /// How far this host has come in stopping.
    pub fn phase(&self) -> DrainPhase {
        let asked = *self.stop_asked.borrow();
        DrainPhase::at(asked, self.conf.stop_grace, self.clock.now())
    }

    /// Requests that have not ended.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request for as long as the guard lives.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            gateway: Arc::clone(self),
        }
    }
}

/// A request that has not ended.
pub struct InFlight {
    gateway: Arc<Gateway>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
