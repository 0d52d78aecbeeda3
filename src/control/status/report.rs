//! The status report of one host.

use indexmap::IndexMap;

use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::manifests::ManifestStatus;
use crate::control::status::EventLog;
use crate::control::status::EventReport;
use crate::decide::PoolLoad;
use crate::decide::UpstreamHealth;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;

/// Maximum number of hosts, homes and targets that a report lists. The counts of hosts per failure
/// domain are always complete.
const LIST_MAX: usize = 1_024;

/// Maximum number of events in a report.
const EVENTS_MAX: usize = 50;

/// Maximum number of events in a report to the platform.
const EVENTS_TO_PLATFORM_MAX: usize = 10;

/// The inputs of a status report.
pub struct StatusInputs<'a> {
    /// This host.
    pub host: &'a HostId,
    /// Its failure domain.
    pub domain: &'a FailureDomainId,
    /// The known hosts and upstreams.
    pub cluster_view: &'a ClusterView,
    /// The state of the manifest on this host.
    pub manifest: ManifestStatus,
    /// The homes on this host.
    pub homes: Vec<(PoolId, PoolLoad)>,
    /// Failure domains that are suspected to be cut off from this one.
    pub silent_domains: Vec<FailureDomainId>,
    /// The recent events of this host.
    pub events: &'a EventLog,
}

/// The view that one host has of the fleet, and its recent events.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct StatusReport {
    /// The host that reports.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// The manifest generation in force.
    pub generation: Option<Generation>,
    /// Time since the platform last confirmed, directly or through other hosts, that there is no
    /// newer generation, in seconds; `None` if it never did.
    pub generation_confirmed_ago_s: Option<u64>,
    /// Why this host may not serve; `None` if it may.
    pub not_ready: Option<&'static str>,
    /// The published manifest that this host refused, and the reason.
    pub manifest_refused: Option<String>,
    /// Failure domains that are suspected to be cut off from this one.
    pub suspected_partitions: Vec<FailureDomainId>,
    /// The hosts by failure domain.
    pub domains: Vec<DomainReport>,
    /// The homes on this host.
    pub homes: Vec<HomeReport>,
    /// The upstreams by target and failure domain.
    pub upstreams: Vec<TargetReport>,
    /// The hosts. The list is empty in a report to the platform, where each host reports itself.
    pub hosts: Vec<HostReport>,
    /// The recent events of this host, the newest first.
    pub lately: Vec<EventReport>,
}

/// The hosts of a failure domain by state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct DomainReport {
    /// The id of the failure domain.
    pub domain: String,
    /// Number of hosts that are alive.
    pub alive: usize,
    /// Number of hosts that are suspected to be dead.
    pub suspect: usize,
    /// Number of hosts that are draining.
    pub leaving: usize,
    /// Number of dead hosts that are not forgotten yet.
    pub dead: usize,
    /// The lowest manifest generation that a host which is not dead was last known to have in
    /// force.
    pub generation_min: Option<Generation>,
}

/// A home on this host: the state of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct HomeReport {
    /// The pool.
    pub pool: PoolId,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Number of running requests.
    pub running: u64,
    /// Time that a short request would have to wait now, in milliseconds.
    pub short_wait_ms: u64,
    /// Memory that is not reserved, in tokens.
    pub free_tokens: u64,
    /// Number of upstreams that may get work.
    pub upstreams: u32,
}

/// The upstreams of a target in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// The failure domain.
    pub domain: FailureDomainId,
    /// Number of upstreams that may get work.
    pub live: usize,
    /// Number of upstreams that are leaving.
    pub leaving: usize,
}

/// One host in the list of a report: its failure domain, its state, and its manifest generation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct HostReport {
    /// The id of the host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// The state of the host: `alive`, `suspect`, `leaving` or `dead`.
    pub state: &'static str,
    /// The manifest generation that the host was last known to have in force.
    pub generation: Generation,
}

impl StatusReport {
    /// Builds the report of the current state. The lists of hosts, homes, targets and events are
    /// truncated.
    pub fn new(inputs: StatusInputs<'_>) -> Self {
        let mut views: Vec<HostView> = inputs
            .cluster_view
            .hosts
            .snapshot()
            .into_iter()
            .map(|(_, view)| view)
            .collect();
        views.sort_by(|a, b| (&a.domain, &a.id).cmp(&(&b.domain, &b.id)));
        let manifest_status = inputs.manifest;
        let refused = manifest_status.refused.as_ref();
        let mut homes: Vec<HomeReport> = inputs.homes.iter().map(home_report).collect();
        homes.sort_by(|a, b| a.pool.cmp(&b.pool));
        homes.truncate(LIST_MAX);
        Self {
            host: inputs.host.clone(),
            domain: inputs.domain.clone(),
            generation: manifest_status.generation,
            generation_confirmed_ago_s: manifest_status.confirmed_ago.map(|ago| ago.as_secs()),
            not_ready: manifest_status.why_not_ready,
            manifest_refused: refused
                .map(|refused| format!("generation {}: {}", refused.generation, refused.why)),
            suspected_partitions: inputs.silent_domains,
            domains: domain_reports(&views),
            homes,
            upstreams: target_reports(inputs.cluster_view),
            hosts: views.iter().take(LIST_MAX).map(host_report).collect(),
            lately: inputs.events.latest(EVENTS_MAX),
        }
    }

    /// The report for the platform, without the list of hosts and with fewer events. Its size does
    /// not grow with the fleet: 400 hosts that each list 400 would make 160,000 entries.
    pub fn for_platform(mut self) -> Self {
        self.hosts.clear();
        self.lately.truncate(EVENTS_TO_PLATFORM_MAX);
        self
    }
}

/// The number of hosts in each state, by failure domain. Dead hosts do not affect the lowest
/// generation.
fn domain_reports(views: &[HostView]) -> Vec<DomainReport> {
    let mut domains: IndexMap<&FailureDomainId, DomainReport> = IndexMap::new();
    for view in views {
        let report = domains.entry(&view.domain).or_insert_with(|| DomainReport {
            domain: view.domain.to_string(),
            ..DomainReport::default()
        });
        match view.state {
            HostState::Alive => report.alive += 1,
            HostState::Suspect => report.suspect += 1,
            HostState::Leaving => report.leaving += 1,
            HostState::Dead => {
                report.dead += 1;
                continue;
            }
        }
        let lowest = report.generation_min.unwrap_or(view.generation);
        report.generation_min = Some(lowest.min(view.generation));
    }
    domains.into_values().collect()
}

fn home_report((pool, load): &(PoolId, PoolLoad)) -> HomeReport {
    HomeReport {
        pool: pool.clone(),
        waiting: load.waiting,
        running: load.running,
        short_wait_ms: u64::try_from(load.short_wait.as_millis()).unwrap_or(u64::MAX),
        free_tokens: load.free_tokens.0,
        upstreams: load.upstreams,
    }
}

/// The number of upstreams in each state, by target and failure domain; at most [`LIST_MAX`]
/// entries.
fn target_reports(cluster_view: &ClusterView) -> Vec<TargetReport> {
    let mut targets: IndexMap<(TargetId, FailureDomainId), (usize, usize)> = IndexMap::new();
    for (_, view) in cluster_view.upstreams.snapshot() {
        let (live, leaving) = targets.entry((view.target, view.domain)).or_default();
        match view.health {
            UpstreamHealth::Live => *live += 1,
            UpstreamHealth::Leaving => *leaving += 1,
        }
    }
    targets.sort_unstable_keys();
    targets
        .into_iter()
        .take(LIST_MAX)
        .map(|((target, domain), (live, leaving))| TargetReport {
            target,
            domain,
            live,
            leaving,
        })
        .collect()
}

fn host_report(view: &HostView) -> HostReport {
    HostReport {
        host: view.id.clone(),
        domain: view.domain.clone(),
        state: match view.state {
            HostState::Alive => "alive",
            HostState::Suspect => "suspect",
            HostState::Leaving => "leaving",
            HostState::Dead => "dead",
        },
        generation: view.generation,
    }
}
