//! Runs the spreading of manifests on this host.

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
use crate::peer::Peers;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Runs the spreading of manifests on this host and puts them in force in the cluster view.
pub struct ManifestDesk {
    clock: Arc<dyn Clock>,
    cluster_view: Arc<ClusterView>,
    events: Arc<EventLog>,
    peers: Arc<dyn Peers>,
    metrics: Arc<Metrics>,
    host: HostId,
    domain: FailureDomainId,
    manifests: Mutex<ManifestController>,
    read_platform: Notify,
    seen_hosts: AtomicU64,
}

/// What a desk works with.
pub struct ManifestDeskParts {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The blackboard.
    pub cluster_view: Arc<ClusterView>,
    /// What this host did lately.
    pub events: Arc<EventLog>,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// Metrics, which follow the manifest's customers.
    pub metrics: Arc<Metrics>,
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
}

impl ManifestDesk {
    /// A desk around a state machine.
    pub fn new(parts: ManifestDeskParts, manifests: ManifestController) -> Self {
        Self {
            clock: parts.clock,
            cluster_view: parts.cluster_view,
            events: parts.events,
            peers: parts.peers,
            metrics: parts.metrics,
            host: parts.host,
            domain: parts.domain,
            manifests: Mutex::new(manifests),
            read_platform: Notify::new(),
            seen_hosts: AtomicU64::new(u64::MAX),
        }
    }

    /// Does what is due now.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut actions = self.hear_hosts(now);
        actions.extend(self.lock().tick(now));
        self.perform(actions);
    }

    /// Takes in a message of another host.
    pub fn handle(&self, from: &HostId, message: Message) {
        let actions = self.lock().handle(from, message, self.clock.now());
        self.perform(actions);
    }

    /// Takes in what the platform said.
    pub fn platform(&self, word: ManifestRead) {
        let actions = self.lock().on_platform_read(word, self.clock.now());
        self.perform(actions);
    }

    /// What this host knows.
    pub fn knowledge(&self) -> ManifestStatus {
        self.lock().status(self.clock.now())
    }

    /// Comes back when the platform should be read.
    pub async fn wants_platform(&self) {
        self.read_platform.notified().await;
    }

    /// Takes in the hosts, if any has changed since the last look.
    fn hear_hosts(&self, now: Instant) -> Vec<ManifestAction> {
        let changes = self.cluster_view.hosts.change_count();
        if self.seen_hosts.swap(changes, Ordering::Relaxed) == changes {
            return Vec::new();
        }
        let (neighbours, strangers) = self.others();
        let heard = self.generations();
        let mut manifests = self.lock();
        manifests.set_hosts(neighbours, strangers);
        let hear = |(host, generation)| manifests.on_peer_generation(&host, generation, now);
        heard.into_iter().flat_map(hear).collect()
    }

    fn others(&self) -> (Vec<HostId>, Vec<HostId>) {
        let views = self
            .cluster_view
            .hosts
            .snapshot()
            .into_iter()
            .map(|(_, view)| view);
        let others = views.filter(|view| view.id != self.host && view.state != HostState::Dead);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|view| view.domain == self.domain);
        let ids = |views: Vec<crate::cluster_view::HostView>| views.into_iter().map(|view| view.id);
        (ids(near).collect(), ids(far).collect())
    }

    fn generations(&self) -> Vec<(HostId, crate::units::Generation)> {
        let views = self.cluster_view.hosts.snapshot().into_iter();
        views
            .map(|(id, view)| (id, view.generation))
            .filter(|(id, _)| *id != self.host)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, ManifestController> {
        self.manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(&self, actions: Vec<ManifestAction>) {
        for action in actions {
            match action {
                ManifestAction::Send { to, message } => self.peers.send(&to, message),
                ManifestAction::ReadPlatform => self.read_platform.notify_one(),
                ManifestAction::PutInForce(in_force) => {
                    let what = format!("put generation {} in force", in_force.generation);
                    self.events.record("manifests", &what, "it is newer");
                    self.metrics.set_customers(&in_force.manifest);
                    self.cluster_view.advance_manifest(in_force);
                }
            }
        }
    }
}
