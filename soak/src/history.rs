//! Records what callers, upstreams and the operator observed. The guarantees are checked from these
//! observations.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyanarch::decide::RetryBound;
use indexmap::IndexMap;

use crate::call::CallClass;

/// A point in time, as the duration since the start of the soak run.
pub type Timestamp = Duration;

/// The outcome of one attempt, as its caller observed it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// A complete successful response.
    Success {
        /// The id of the upstream that signed the response; empty if none did.
        signature: String,
        /// The body as a single element, or the events of a stream in order.
        body: Vec<String>,
    },
    /// A failure with this status, and the upstream that signed the response; none if the host
    /// itself responded.
    Failure(u16, Option<String>),
    /// The caller could not connect.
    NoConnection,
    /// The connection broke or the response ended early, with the error.
    ConnectionBroken(String),
    /// The caller received no complete response within the deadline and a grace time.
    TimedOut,
    /// The caller abandoned the attempt on purpose.
    Abandoned,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    /// The class of the call.
    pub class: CallClass,
    /// The index of the host.
    pub host: usize,
    /// The API key that the caller presented.
    pub key: String,
    /// The deadline that the caller sends, as the time from the start of the attempt.
    pub deadline: Duration,
    /// When the attempt started, before any connection was opened.
    pub sent_at: Timestamp,
    /// The time until the first part of a response body, which for a stream is its first event;
    /// none if there was none.
    pub first_data_after: Option<Duration>,
    /// When the caller had the response or stopped waiting.
    pub ended_at: Timestamp,
    /// The outcome.
    pub outcome: CallerOutcome,
}

impl CallerAttempt {
    /// Whether the host owed the caller a response: the caller waited for it, and its key was in
    /// force.
    pub(crate) fn is_owed(&self) -> bool {
        !matches!(
            self.outcome,
            CallerOutcome::Abandoned | CallerOutcome::Failure(401, _)
        )
    }
}

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRun {
    /// The id of the upstream.
    pub upstream: String,
    /// The index of the failure domain of the upstream.
    pub domain: usize,
    /// The service of the upstream.
    pub service: String,
    /// When the request arrived; an unresponsive upstream runs it later. The earliest possible time
    /// if the upstream was silent then.
    pub arrived_at: Timestamp,
    /// The remaining time that the upstream was given.
    pub deadline: Option<Duration>,
    /// The customer that the upstream was given.
    pub customer: Option<String>,
    /// Whether method, path, body and the parts of the prompt arrived as the caller sent them.
    pub is_unchanged: bool,
    /// Whether the request contained a caller's key, which must not be forwarded.
    pub has_key: bool,
    /// The limit that the response advertises, in requests per second; none if it advertises none.
    pub advertised_limit_per_s: Option<f64>,
    /// Whether the response says that the upstream leaves.
    pub says_leaving: bool,
    /// Whether the upstream completes the response without an error unless it ends before.
    pub is_sound: bool,
}

/// A request that an upstream refused.
#[derive(Clone, Debug)]
pub struct UpstreamRefusal {
    /// The id of the upstream.
    pub upstream: String,
    /// The service of the upstream.
    pub service: String,
    /// When the request arrived.
    pub arrived_at: Timestamp,
    /// When the upstream refused the request, which a silent upstream does later.
    pub refused_at: Timestamp,
    /// For how long the upstream wants no requests from the host; none if it does not say.
    pub backoff: Option<Duration>,
}

/// A change that the operator or an upstream made in the store.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// This key was revoked.
    KeyRevoked(String),
    /// The route of [`CallClass::Moving`] was moved to this service.
    RouteMoved(String),
    /// This upstream announced that it leaves.
    UpstreamLeaving(String),
    /// The failure domain with this index was evacuated.
    DomainEvacuated(usize),
    /// The evacuation of the failure domain with this index ended.
    EvacuationEnded(usize),
}

/// What a fault affects: processes of hosts, hosts or any of their links, one planned stop of a
/// host, the store, or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// These hosts, or their links to callers, to each other, to the store or to upstreams.
    Hosts(Vec<usize>),
    /// The processes of these hosts, which are killed or paused.
    Processes(Vec<usize>),
    /// A host that is stopped as planned, by SIGTERM.
    PlannedStop(usize),
    /// The links from these hosts to all upstreams. Unlike other faults of links this is no excuse,
    /// since the hosts reach upstreams through others.
    UpstreamPaths(Vec<usize>),
    /// The store.
    Store,
    /// An upstream.
    Upstream,
    /// The customer with this index sends many times its usual requests.
    Flood(usize),
    /// All upstreams.
    AllUpstreams,
    /// Upstreams that fall silent and then go on where they were.
    SilentUpstreams,
}

/// A fault from its start to its end.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// When the fault started.
    pub from: Timestamp,
    /// When the fault ended.
    pub to: Timestamp,
    /// What the fault affects.
    pub scope: FaultScope,
}

impl FaultRecord {
    /// Whether the fault overlaps an interval, both ends included.
    pub fn overlaps(&self, from: Timestamp, to: Timestamp) -> bool {
        self.from <= to && self.to >= from
    }

    /// Whether the fault ends or pauses the process of a host.
    fn disturbs_process(&self, host: usize) -> bool {
        match &self.scope {
            FaultScope::Processes(hosts) => hosts.contains(&host),
            FaultScope::PlannedStop(stopped) => *stopped == host,
            FaultScope::Hosts(_)
            | FaultScope::UpstreamPaths(_)
            | FaultScope::Store
            | FaultScope::Upstream
            | FaultScope::Flood(_)
            | FaultScope::AllUpstreams
            | FaultScope::SilentUpstreams => false,
        }
    }

    /// Whether the fault affects what a host knows or does. A fault of the store affects every
    /// host, and a fault of an upstream affects none.
    pub fn affects(&self, host: usize) -> bool {
        match &self.scope {
            FaultScope::Hosts(hosts) | FaultScope::Processes(hosts) => hosts.contains(&host),
            FaultScope::PlannedStop(stopped) => *stopped == host,
            FaultScope::Store => true,
            FaultScope::UpstreamPaths(_)
            | FaultScope::Upstream
            | FaultScope::Flood(_)
            | FaultScope::AllUpstreams
            | FaultScope::SilentUpstreams => false,
        }
    }
}

/// A period during which an upstream advertised a rate limit in its responses.
#[derive(Clone, Debug)]
pub struct LimitPeriod {
    /// The id of the upstream.
    pub upstream: String,
    /// The limit for all hosts together, in requests per second.
    pub per_s: f64,
    /// When the period started.
    pub from: Timestamp,
    /// When the period ended.
    pub to: Timestamp,
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// The bound on retries of the deployment; that of the stand-in's settings if none.
    pub retry_bound: Option<RetryBound>,
    /// Attempts that have ended, by request id.
    pub attempts: IndexMap<String, CallerAttempt>,
    /// Runs at upstreams, by request id.
    pub runs: IndexMap<String, Vec<UpstreamRun>>,
    /// Refusals by upstreams, by request id.
    pub refusals: IndexMap<String, Vec<UpstreamRefusal>>,
    /// Changes, each with the time at which the store accepted the change.
    pub changes: Vec<(Timestamp, StoreChange)>,
    /// Faults that have ended.
    pub faults: Vec<FaultRecord>,
    /// When upstreams crashed or were ended, by upstream id.
    pub upstream_ends: IndexMap<String, Timestamp>,
    /// When engines crashed under each part of prompts, by its number.
    pub part_crashes: IndexMap<u32, Vec<Timestamp>>,
    /// When upstreams crashed under each request that is repeated, by its number.
    pub repeat_crashes: IndexMap<u32, Vec<Timestamp>>,
    /// Limit periods that have ended.
    pub limit_periods: Vec<LimitPeriod>,
}

impl Observations {
    /// Whether the process of a host was ended or paused within an interval.
    pub(crate) fn is_process_disturbed(&self, host: usize, from: Timestamp, to: Timestamp) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.disturbs_process(host) && fault.overlaps(from, to))
    }

    /// Whether all upstreams failed within an interval.
    pub(crate) fn is_outage(&self, from: Timestamp, to: Timestamp) -> bool {
        let outages = self.faults.iter();
        let mut outages = outages.filter(|fault| fault.scope == FaultScope::AllUpstreams);
        outages.any(|fault| fault.overlaps(from, to))
    }

    /// Whether links from a host to upstreams were cut within an interval. A request may have been
    /// held up on such a link.
    pub(crate) fn is_path_cut(&self, host: usize, from: Timestamp, to: Timestamp) -> bool {
        let mut cuts = self.faults.iter();
        cuts.any(|fault| {
            let is_at_host = match &fault.scope {
                FaultScope::UpstreamPaths(hosts) => hosts.contains(&host),
                _ => false,
            };
            is_at_host && fault.overlaps(from, to)
        })
    }

    /// The number of hosts that callers have called, counted from index 0.
    pub(crate) fn host_count(&self) -> usize {
        let hosts = self.attempts.values().map(|attempt| attempt.host + 1);
        hosts.max().unwrap_or(0)
    }

    /// Whether a fault affected the process or the links of a host within an interval.
    pub(crate) fn is_host_disturbed(&self, host: usize, from: Timestamp, to: Timestamp) -> bool {
        let mut faults = self.faults_affecting(host, from, to);
        faults.any(|fault| fault.scope != FaultScope::Store)
    }

    /// Returns the faults that affected a host and overlap an interval. A fault of the store
    /// affects every host, and a fault of an upstream affects none.
    pub fn faults_affecting(
        &self,
        host: usize,
        from: Timestamp,
        to: Timestamp,
    ) -> impl Iterator<Item = &FaultRecord> {
        let faults = self.faults.iter();
        faults.filter(move |fault| fault.affects(host) && fault.overlaps(from, to))
    }
}

/// The observations of a run behind a mutex, shared by the callers, the upstreams and the fault
/// injection.
#[derive(Debug, Default)]
pub struct History(Mutex<Observations>);

impl History {
    /// Locks the observations up to now, for reading and adding.
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
