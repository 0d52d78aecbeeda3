//! Runs the membership of this host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use log::debug;
use log::info;
use log::warn;

use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::home_assignment::Member;
use crate::control::membership::Membership;
use crate::control::membership::MembershipAction;
use crate::control::status::EventLog;
use crate::decide::PoisonReport;
use crate::decide::UpstreamHealth;
use crate::entry::PoisonBroadcast;
use crate::fleet::poison_wire;
use crate::peer::PeerTransport;
use crate::peer::message::Gossip;
use crate::peer::message::PoisonNotice;
use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// A change of the membership that other parts of the host act on.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A host has joined, or is alive again after it was suspect or dead.
    HostAlive(HostId),
    /// A host is dead.
    HostDead(HostId),
    /// This process was paused, or other hosts declared this host dead: other hosts may have become
    /// the homes of its pools.
    PausedOrDeclaredDead,
    /// A request crashed an upstream of another host.
    Poison(PoisonNotice),
}

/// Runs the membership of this host, and keeps the hosts of the cluster view up to date.
pub struct MembershipRunner {
    clock: Arc<dyn Clock>,
    cluster_view: Arc<ClusterView>,
    peers: Arc<dyn PeerTransport>,
    events: Arc<EventLog>,
    host: HostId,
    membership: Mutex<Membership>,
}

impl MembershipRunner {
    /// A runner of the given membership.
    pub fn new(
        clock: Arc<dyn Clock>,
        cluster_view: Arc<ClusterView>,
        peers: Arc<dyn PeerTransport>,
        events: Arc<EventLog>,
        host: HostId,
        membership: Membership,
    ) -> Self {
        Self {
            clock,
            cluster_view,
            peers,
            events,
            host,
            membership: Mutex::new(membership),
        }
    }

    /// Passes the generation in force and the current time to the membership, and performs its
    /// actions. Returns the events that other parts of the host must handle.
    pub fn tick(&self) -> Vec<MembershipEvent> {
        let now = self.clock.now();
        let actions = {
            let mut membership = self.lock();
            if let Some(in_force) = self.cluster_view.manifest() {
                membership.set_generation(in_force.generation, now);
                self.record_own_generation(in_force.generation);
            }
            membership.tick(now)
        };
        self.perform(actions)
    }

    /// Passes a message of another host to the membership, and performs its actions. Returns the
    /// events that other parts of the host must handle.
    pub fn handle(&self, from: &HostId, gossip: Gossip) -> Vec<MembershipEvent> {
        let actions = self.lock().handle(from, gossip, self.clock.now());
        self.perform(actions)
    }

    /// Adds hosts from the platform's list of machines to the seeds of the membership only; their
    /// addresses are added to `SeededAddrs` separately. The list lags behind the real machines.
    pub fn add_seeds(&self, seeds: &[PeerSeed]) {
        self.lock().add_seeds(seeds);
    }

    /// Probes a host that did not reply to a request for a grant.
    pub fn report_unresponsive(&self, host: &HostId) {
        let actions = self.lock().probe_after_failed_call(host, self.clock.now());
        self.perform(actions);
    }

    /// Announces to the other hosts that this host drains.
    pub fn leave(&self) {
        let actions = self.lock().leave(self.clock.now());
        self.perform(actions);
    }

    /// Announces to the other hosts that an upstream is leaving. `version` is the version of the
    /// platform's object that lists the upstream as leaving.
    pub fn announce_leaving_upstream(&self, upstream: &UpstreamId, version: ObjectVersion) {
        self.lock().announce_leaving_upstream(upstream, version);
    }

    /// Announces to the other hosts that a request crashed an upstream.
    pub fn announce_poison(&self, notice: PoisonNotice) {
        self.lock().announce_poison(notice);
    }

    /// All known hosts of a failure domain, dead ones included, each with whether it is eligible as
    /// a home. A host is eligible if it is alive or suspected.
    pub fn members(&self, domain: &FailureDomainId) -> Vec<Member> {
        self.lock().members(domain)
    }

    /// Other failure domains from which this host has heard nothing for some time. Only a host that
    /// exchanges digests with other domains can tell; on any other host the list is empty.
    pub fn silent_domains(&self) -> Vec<FailureDomainId> {
        self.lock().silent_domains(self.clock.now())
    }

    /// Stores the generation in force in this host's own entry of the local cluster view, if it
    /// differs. This tells no other host, and does nothing if the view has no entry for this host.
    fn record_own_generation(&self, generation: Generation) {
        let known = self
            .cluster_view
            .hosts
            .get(&self.host)
            .map(|view| view.generation);
        if known.is_some_and(|known| known != generation) {
            self.cluster_view
                .hosts
                .update(&self.host, |view| view.generation = generation);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Performs actions, and returns the events that other parts of the host must handle.
    fn perform(&self, actions: Vec<MembershipAction>) -> Vec<MembershipEvent> {
        actions
            .into_iter()
            .filter_map(|action| self.perform_action(action))
            .collect()
    }

    /// Performs one action, and returns the event that other parts of the host must handle, if any.
    fn perform_action(&self, action: MembershipAction) -> Option<MembershipEvent> {
        match action {
            MembershipAction::Send { to, message } => {
                self.peers.send(&to, message);
                None
            }
            MembershipAction::HostChanged { view } => self.update_host(view),
            MembershipAction::HostRemoved { host } => {
                self.cluster_view.hosts.remove(&host);
                None
            }
            MembershipAction::ResumedAfterPause { paused } => {
                self.events
                    .record("membership", "handed over all homes", "process was paused");
                warn!("membership: process was paused for {paused:?}; handing over all homes");
                Some(MembershipEvent::PausedOrDeclaredDead)
            }
            MembershipAction::DeclaredDead => {
                let why = "other hosts declared it dead";
                self.events
                    .record("membership", "handed over all homes", why);
                warn!("membership: other hosts declared this host dead; handing over all homes");
                Some(MembershipEvent::PausedOrDeclaredDead)
            }
            MembershipAction::UpstreamLeaving { upstream, version } => {
                self.mark_upstream_leaving(&upstream, version);
                None
            }
            MembershipAction::Poison { notice } => Some(MembershipEvent::Poison(notice)),
        }
    }

    /// Stores a host in the cluster view; returns an event if its state changed to alive or dead.
    fn update_host(&self, view: HostView) -> Option<MembershipEvent> {
        let id = view.id.clone();
        let state = view.state;
        let before = self
            .cluster_view
            .hosts
            .insert(id.clone(), view)
            .map(|before| before.state);
        if before == Some(state) {
            return None;
        }
        info!("membership: host {id} is {state:?}");
        self.events
            .record("membership", &format!("host {id} is {state:?}"), "gossip");
        match state {
            HostState::Dead => Some(MembershipEvent::HostDead(id)),
            HostState::Alive => Some(MembershipEvent::HostAlive(id)),
            HostState::Suspect | HostState::Leaving => None,
        }
    }

    /// Marks an upstream as leaving in the cluster view, unless the view has a later version.
    fn mark_upstream_leaving(&self, upstream: &UpstreamId, version: ObjectVersion) {
        self.cluster_view.upstreams.update(upstream, |view| {
            if view.version <= version && view.health != UpstreamHealth::Leaving {
                debug!("membership: upstream {upstream} is leaving");
                view.version = version;
                view.health = UpstreamHealth::Leaving;
            }
        });
    }
}

impl PoisonBroadcast for MembershipRunner {
    fn broadcast(&self, poison: &PoisonReport) {
        self.announce_poison(poison_wire::encode_notice(poison));
    }
}
