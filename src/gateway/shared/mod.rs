//! The state that all requests of a host share.

mod in_flight_request;
mod readiness;
mod retries;
mod shutdown_state;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::decide::AvailabilityTracker;
use crate::decide::CustomerShares;
use crate::decide::HealthTracker;
use crate::decide::LoadLedger;
use crate::decide::PartQuarantine;
use crate::decide::PathTracker;
use crate::decide::RetryWindow;
use crate::decide::RouteDurations;
use crate::decide::SilenceTracker;
use crate::exchange::UpdateRoute;
use crate::gateway::DecisionLog;
use crate::gateway::EngineClient;
use crate::gateway::GatewayConf;
use crate::gateway::GatewayMetrics;
use crate::gateway::HeaderCodec;
use crate::gateway::ListedUpstream;
use crate::gateway::PlatformView;
use crate::gateway::caller_connections::CallerConnections;
use crate::gateway::catalog_sharing::CatalogCache;
use crate::gateway::catalog_sharing::ReaderSelector;
use crate::gateway::evacuation_lease::EvacuationLease;
use crate::gateway::heard_generation::HeardGeneration;
use crate::gateway::log_limiter::LogLimiter;
use crate::gateway::probe_claims::ProbeClaims;
use crate::gateway::rate_limits::RateLimits;
use crate::gateway::slowdowns::Slowdowns;
use crate::gateway::starting_reader::FoundReader;
use crate::gateway::supervisor::StoppedTasks;
use crate::gateway::tunnel::TunnelCounter;
use crate::gateway::upstream_incarnations::UpstreamIncarnations;
use crate::gateway::waiting_calls::WaitingCalls;
use crate::http::ByteBudget;
use crate::observe::SeenNames;
use crate::units::QuarantineId;
use crate::units::ServiceId;
use crate::units::TellerId;
use crate::units::UpstreamId;

pub(crate) use in_flight_request::InFlightRequest;

/// The shared state of one host, in parts that have their own locks. No lock is held across an
/// await.
pub struct Gateway {
    /// The configuration of the host.
    pub conf: GatewayConf,
    /// The clock of the host.
    pub clock: Arc<dyn Clock>,
    /// The parser and writer of the headers of the platform.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// The client for orders to engines.
    pub engine_client: Arc<dyn EngineClient>,
    /// The host's current view of the platform.
    pub platform_view: PlatformView,
    /// The decision log.
    pub log: DecisionLog,
    /// The metrics.
    pub metrics: GatewayMetrics,
    ledger: Mutex<LoadLedger>,
    shares: Mutex<CustomerShares>,
    health: Mutex<HealthTracker>,
    silences: Mutex<SilenceTracker>,
    durations: Mutex<RouteDurations>,
    paths: Mutex<PathTracker>,
    retries: Mutex<IndexMap<ServiceId, RetryWindow>>,
    pub(crate) part_quarantine: Mutex<PartQuarantine>,
    /// The quarantines of which this host has seen crashes since they were last saved.
    own_quarantines: Mutex<IndexSet<QuarantineId>>,
    /// Notified when quarantines are to be saved or deleted.
    pub(crate) quarantines_changed: Notify,
    /// The calls that may be probes of quarantined parts.
    pub(crate) probe_claims: ProbeClaims,
    pub(crate) started_at: Instant,
    shutdown_requested_at: watch::Sender<Option<Instant>>,
    in_flight: AtomicU64,
    /// The bytes of bodies that this host may hold.
    pub(crate) held_bytes: ByteBudget,
    /// The open connections of callers.
    pub(crate) caller_connections: CallerConnections,
    /// Notified when the load that this host puts on upstreams changes.
    pub(crate) load_changed: Notify,
    /// Notified when a connection to an upstream fails.
    pub(crate) health_changed: Notify,
    /// Notified when the state of this host must be broadcast without waiting for the next
    /// interval.
    pub(crate) broadcast_now: Notify,
    /// A random number drawn at the start of the process, which distinguishes this incarnation of
    /// the host from earlier ones.
    pub(crate) incarnation: u64,
    /// The last state read from the platform, for other hosts that request it.
    pub(crate) catalog_cache: CatalogCache,
    /// The incarnations of upstreams that have ended.
    pub(crate) incarnations: UpstreamIncarnations,
    /// Notified when the host that reads the platform for this one has a different manifest.
    pub(crate) routes_changed: Notify,
    /// Notified when the host that reads the platform for this one has a different list of
    /// upstreams.
    pub(crate) upstreams_changed: Notify,
    /// The host from which this one gets the platform's lists after its start; none until it is
    /// found.
    pub(crate) found_reader: watch::Sender<Option<FoundReader>>,
    /// The lease on the evacuations.
    pub(crate) evacuation_lease: EvacuationLease,
    /// Notified when the evacuations are to be read again before the next interval.
    pub(crate) evacuations_changed: Notify,
    /// Notified when an update arrives from a host that is not on the list.
    pub(crate) hosts_changed: Notify,
    /// The number of updates that this host has sent, from which an update takes its sequence
    /// number.
    pub(crate) updates_sent: AtomicU64,
    update_route: Mutex<UpdateRoute>,
    logged_route: Mutex<UpdateRoute>,
    /// Selects the host that reads the platform for this one.
    pub(crate) reader_selector: ReaderSelector,
    /// The slowdowns of engines.
    pub(crate) slowdowns: Slowdowns,
    /// The rate limits of upstreams.
    pub(crate) rate_limits: RateLimits,
    /// What upstreams have stated about whether they accept requests.
    pub(crate) availability: Mutex<AvailabilityTracker>,
    /// The calls that wait for places at upstreams.
    pub(crate) waiting: WaitingCalls,
    /// The tunnels that this host provides to others.
    pub(crate) tunnels: TunnelCounter,
    /// Limits the log lines about malformed notices, by upstream and kind of notice.
    pub(crate) malformed_notices: LogLimiter<(UpstreamId, &'static str)>,
    /// The unknown headers in responses of upstreams.
    pub(crate) unknown_headers: SeenNames,
    /// The generation of the manifest that other hosts have in force.
    pub(crate) heard_generation: HeardGeneration,
    /// The long-running tasks that are stopped.
    pub(crate) stopped_tasks: StoppedTasks,
}

impl Gateway {
    /// Creates the state of a host that has read nothing from the platform yet.
    pub fn new(
        conf: GatewayConf,
        clock: Arc<dyn Clock>,
        header_codec: Arc<dyn HeaderCodec>,
        engine_client: Arc<dyn EngineClient>,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> Self {
        let started_at = clock.now();
        let incarnation = rand::random();
        Self {
            started_at,
            held_bytes: ByteBudget::new(conf.held_bytes_max),
            conf,
            clock,
            header_codec,
            engine_client,
            platform_view: PlatformView::default(),
            log,
            metrics,
            ledger: Mutex::default(),
            shares: Mutex::default(),
            health: Mutex::default(),
            silences: Mutex::default(),
            durations: Mutex::default(),
            paths: Mutex::default(),
            tunnels: TunnelCounter::default(),
            retries: Mutex::default(),
            part_quarantine: Mutex::new(PartQuarantine::new(TellerId(incarnation))),
            own_quarantines: Mutex::default(),
            quarantines_changed: Notify::new(),
            probe_claims: ProbeClaims::default(),
            shutdown_requested_at: watch::Sender::new(None),
            in_flight: AtomicU64::new(0),
            caller_connections: CallerConnections::default(),
            load_changed: Notify::new(),
            broadcast_now: Notify::new(),
            health_changed: Notify::new(),
            incarnation,
            catalog_cache: CatalogCache::default(),
            incarnations: UpstreamIncarnations::default(),
            routes_changed: Notify::new(),
            upstreams_changed: Notify::new(),
            found_reader: watch::Sender::new(None),
            evacuation_lease: EvacuationLease::default(),
            evacuations_changed: Notify::new(),
            hosts_changed: Notify::new(),
            updates_sent: AtomicU64::new(0),
            update_route: Mutex::default(),
            logged_route: Mutex::default(),
            reader_selector: ReaderSelector::default(),
            slowdowns: Slowdowns::default(),
            rate_limits: RateLimits::new(started_at),
            availability: Mutex::default(),
            waiting: WaitingCalls::default(),
            malformed_notices: LogLimiter::default(),
            unknown_headers: SeenNames::default(),
            heard_generation: HeardGeneration::default(),
            stopped_tasks: StoppedTasks::default(),
        }
    }

    /// The number of bytes of bodies that this host holds beside usual ones.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.used_bytes()
    }

    /// Locks the load that all hosts put on upstreams.
    pub fn ledger(&self) -> MutexGuard<'_, LoadLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the shares and the use of customers, over all hosts.
    pub fn shares(&self) -> MutexGuard<'_, CustomerShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the health of upstreams as this host knows it.
    pub fn health(&self) -> MutexGuard<'_, HealthTracker> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the silences of upstreams as this host sees them.
    pub fn silences(&self) -> MutexGuard<'_, SilenceTracker> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks how long requests take.
    pub(crate) fn durations(&self) -> MutexGuard<'_, RouteDurations> {
        self.durations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the reachability of upstreams by direct network paths.
    pub fn paths(&self) -> MutexGuard<'_, PathTracker> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quarantines of which this host has seen crashes.
    pub(crate) fn own_quarantines(&self) -> MutexGuard<'_, IndexSet<QuarantineId>> {
        let own = self.own_quarantines.lock();
        own.unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream with this id; none if it is not listed or is leaving.
    pub(crate) fn find_listed(&self, id: &UpstreamId) -> Option<ListedUpstream> {
        let by_service = self.platform_view.upstreams()?;
        let mut all = by_service.values().flatten();
        all.find(|upstream| upstream.id == *id).cloned()
    }

    /// The route by which updates of other hosts arrive.
    pub(crate) fn update_route(&self) -> UpdateRoute {
        let route = self.update_route.lock();
        route.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The route that was last written to the decision log.
    pub(crate) fn logged_route(&self) -> UpdateRoute {
        let route = self.logged_route.lock();
        route.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records which route was written to the decision log.
    pub(crate) fn set_logged_route(&self, route: UpdateRoute) {
        let logged = self.logged_route.lock();
        *logged.unwrap_or_else(PoisonError::into_inner) = route;
    }

    /// Sets the route by which updates of other hosts arrive.
    pub(crate) fn set_update_route(&self, route: UpdateRoute) {
        let mut current = self
            .update_route
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = route;
    }
}
