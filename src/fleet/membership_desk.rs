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
use crate::peer::Peers;
use crate::peer::message::Gossip;
use crate::peer::message::PoisonNotice;
use crate::settings::PeerSeed;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// What the rest of the host has to do about a change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetNews {
    /// A host is there, or again.
    HostAlive(HostId),
    /// A host is gone.
    HostDead(HostId),
    /// This process was paused, or taken for dead: what it held may be someone else's.
    DropWhatIsHeld,
    /// A request crashed an upstream of another host.
    Poison(PoisonNotice),
}

/// Runs the membership of this host and keeps the hosts in the cluster view.
pub struct MembershipDesk {
    clock: Arc<dyn Clock>,
    cluster_view: Arc<ClusterView>,
    peers: Arc<dyn Peers>,
    events: Arc<EventLog>,
    host: HostId,
    membership: Mutex<Membership>,
}

impl MembershipDesk {
    /// A desk around a membership.
    pub fn new(
        clock: Arc<dyn Clock>,
        cluster_view: Arc<ClusterView>,
        peers: Arc<dyn Peers>,
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

    /// Does what is due now.
    pub fn tick(&self) -> Vec<FleetNews> {
        let now = self.clock.now();
        let actions = {
            let mut membership = self.lock();
            if let Some(in_force) = self.cluster_view.manifest() {
                membership.set_generation(in_force.generation, now);
                self.note_own_generation(in_force.generation);
            }
            membership.tick(now)
        };
        self.perform(actions)
    }

    /// Takes in a message of another host.
    pub fn handle(&self, from: &HostId, gossip: Gossip) -> Vec<FleetNews> {
        let actions = self.lock().handle(from, gossip, self.clock.now());
        self.perform(actions)
    }

    /// Takes in hosts of the platform's lagging list.
    pub fn seed(&self, seeds: &[PeerSeed]) {
        self.lock().add_seeds(seeds);
    }

    /// A host did not answer when it was asked for a grant.
    pub fn suspect(&self, host: &HostId) {
        let actions = self.lock().probe_after_failed_call(host, self.clock.now());
        self.perform(actions);
    }

    /// Tells the others that this host drains.
    pub fn leave(&self) {
        let actions = self.lock().leave(self.clock.now());
        self.perform(actions);
    }

    /// Spreads that an upstream is leaving.
    pub fn note_leaving(&self, upstream: &UpstreamId, version: ObjectVersion) {
        self.lock().announce_leaving_upstream(upstream, version);
    }

    /// Spreads that a request crashed an upstream.
    pub fn note_poison(&self, notice: PoisonNotice) {
        self.lock().announce_poison(notice);
    }

    /// The hosts of a failure domain as possible homes.
    pub fn members(&self, domain: &FailureDomainId) -> Vec<Member> {
        self.lock().members(domain)
    }

    /// Failure domains that are silent, as far as this host can tell.
    pub fn silent_domains(&self) -> Vec<FailureDomainId> {
        self.lock().silent_domains(self.clock.now())
    }

    fn note_own_generation(&self, generation: Generation) {
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

    fn perform(&self, actions: Vec<MembershipAction>) -> Vec<FleetNews> {
        actions
            .into_iter()
            .filter_map(|action| self.perform_one(action))
            .collect()
    }

    fn perform_one(&self, action: MembershipAction) -> Option<FleetNews> {
        match action {
            MembershipAction::Send { to, message } => {
                self.peers.send(&to, message);
                None
            }
            MembershipAction::HostChanged { view } => self.host_changed(view),
            MembershipAction::HostRemoved { host } => {
                self.cluster_view.hosts.remove(&host);
                None
            }
            MembershipAction::ResumedAfterPause { paused } => {
                self.events
                    .record("membership", "dropped what it held", "it was paused");
                warn!("membership: this process was paused for {paused:?}, drops what it held");
                Some(FleetNews::DropWhatIsHeld)
            }
            MembershipAction::DeclaredDead => {
                let why = "the others took it for dead";
                self.events
                    .record("membership", "dropped what it held", why);
                warn!("membership: the others took this host for dead, drops what it held");
                Some(FleetNews::DropWhatIsHeld)
            }
            MembershipAction::UpstreamLeaving { upstream, version } => {
                self.upstream_leaves(&upstream, version);
                None
            }
            MembershipAction::Poison { notice } => Some(FleetNews::Poison(notice)),
        }
    }

    fn host_changed(&self, view: HostView) -> Option<FleetNews> {
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
            HostState::Dead => Some(FleetNews::HostDead(id)),
            HostState::Alive => Some(FleetNews::HostAlive(id)),
            HostState::Suspect | HostState::Leaving => None,
        }
    }

    fn upstream_leaves(&self, upstream: &UpstreamId, version: ObjectVersion) {
        self.cluster_view.upstreams.update(upstream, |view| {
            if view.version <= version && view.health != UpstreamHealth::Leaving {
                debug!("membership: upstream {upstream} leaves");
                view.version = version;
                view.health = UpstreamHealth::Leaving;
            }
        });
    }
}

impl PoisonBroadcast for MembershipDesk {
    fn broadcast(&self, poison: &PoisonReport) {
        self.note_poison(poison_wire::notice_of(poison));
    }
}
