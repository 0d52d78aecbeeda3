//! Runs the manifest controller of this host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::sync::Notify;

use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::control::manifests::ManifestAction;
use crate::control::manifests::ManifestController;
use crate::control::manifests::ManifestRead;
use crate::control::manifests::ManifestStatus;
use crate::control::status::EventLog;
use crate::observe::Metrics;
use crate::peer::Message;
use crate::peer::PeerTransport;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Runs the manifest controller of this host, and puts accepted manifests in force in the cluster
/// view.
pub struct ManifestRunner {
    clock: Arc<dyn Clock>,
    cluster_view: Arc<ClusterView>,
    events: Arc<EventLog>,
    peers: Arc<dyn PeerTransport>,
    metrics: Arc<Metrics>,
    host: HostId,
    domain: FailureDomainId,
    controller: Mutex<ManifestController>,
    read_requested: Notify,
    /// The change count of the cluster view's hosts at the last update of the controller.
    host_change_count: AtomicU64,
}

/// The dependencies of a [`ManifestRunner`].
pub struct ManifestRunnerParts {
    /// The clock of this host.
    pub clock: Arc<dyn Clock>,
    /// The cluster view that gets the manifest in force.
    pub cluster_view: Arc<ClusterView>,
    /// The log of recent events, which records each manifest that is put in force.
    pub events: Arc<EventLog>,
    /// The transport to other hosts.
    pub peers: Arc<dyn PeerTransport>,
    /// The metrics, which are labelled with the customers of the manifest in force.
    pub metrics: Arc<Metrics>,
    /// The id of this host.
    pub host: HostId,
    /// The failure domain of this host.
    pub domain: FailureDomainId,
}

impl ManifestRunner {
    /// A runner of the given controller.
    pub fn new(parts: ManifestRunnerParts, controller: ManifestController) -> Self {
        Self {
            clock: parts.clock,
            cluster_view: parts.cluster_view,
            events: parts.events,
            peers: parts.peers,
            metrics: parts.metrics,
            host: parts.host,
            domain: parts.domain,
            controller: Mutex::new(controller),
            read_requested: Notify::new(),
            host_change_count: AtomicU64::new(u64::MAX),
        }
    }

    /// Passes changes of the hosts and the current time to the controller, and performs its
    /// actions.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut actions = self.update_hosts(now);
        actions.extend(self.lock().tick(now));
        self.perform(actions);
    }

    /// Passes a message of another host to the controller, and performs its actions.
    pub fn handle(&self, from: &HostId, message: Message) {
        let actions = self.lock().handle(from, message, self.clock.now());
        self.perform(actions);
    }

    /// Passes the result of reading the manifest from the platform to the controller, and performs
    /// its actions.
    pub fn on_platform_read(&self, read: ManifestRead) {
        let actions = self.lock().on_platform_read(read, self.clock.now());
        self.perform(actions);
    }

    /// The state of the manifest on this host.
    pub fn status(&self) -> ManifestStatus {
        self.lock().status(self.clock.now())
    }

    /// Waits until the controller requests a read of the manifest from the platform. The caller
    /// passes the result to [`Self::on_platform_read`].
    pub async fn wait_for_read_request(&self) {
        self.read_requested.notified().await;
    }

    /// Passes the hosts and their generations to the controller if any host has changed since the
    /// last call. Returns the actions of the controller, which the caller must perform.
    fn update_hosts(&self, now: Instant) -> Vec<ManifestAction> {
        let changes = self.cluster_view.hosts.change_count();
        if self.host_change_count.swap(changes, Ordering::Relaxed) == changes {
            return Vec::new();
        }
        let (same_domain, remote) = self.live_peers();
        let generations = self.peer_generations();
        let mut controller = self.lock();
        controller.set_hosts(same_domain, remote);
        let report = |(host, generation)| controller.on_peer_generation(&host, generation, now);
        generations.into_iter().flat_map(report).collect()
    }

    /// The other hosts that are not dead: those of this failure domain, and those of others.
    fn live_peers(&self) -> (Vec<HostId>, Vec<HostId>) {
        let views = self
            .cluster_view
            .hosts
            .snapshot()
            .into_iter()
            .map(|(_, view)| view);
        let others = views.filter(|view| view.id != self.host && view.state != HostState::Dead);
        let (same_domain, remote): (Vec<_>, Vec<_>) =
            others.partition(|view| view.domain == self.domain);
        let ids = |views: Vec<crate::cluster_view::HostView>| views.into_iter().map(|view| view.id);
        (ids(same_domain).collect(), ids(remote).collect())
    }

    /// The other hosts, each with the generation that the host was last heard to have in force.
    fn peer_generations(&self) -> Vec<(HostId, crate::units::Generation)> {
        let views = self.cluster_view.hosts.snapshot().into_iter();
        views
            .map(|(id, view)| (id, view.generation))
            .filter(|(id, _)| *id != self.host)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, ManifestController> {
        self.controller
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Performs actions of the controller.
    fn perform(&self, actions: Vec<ManifestAction>) {
        for action in actions {
            match action {
                ManifestAction::Send { to, message } => self.peers.send(&to, message),
                ManifestAction::ReadPlatform => self.read_requested.notify_one(),
                ManifestAction::PutInForce(in_force) => {
                    let what = format!("put generation {} in force", in_force.generation);
                    self.events
                        .record("manifests", &what, "its generation is newer");
                    self.metrics.set_customers(&in_force.manifest);
                    self.cluster_view.advance_manifest(in_force);
                }
            }
        }
    }
}
