//! Handles membership changes.

use std::sync::Arc;

use log::info;

use crate::control::home::HomeEvent;
use crate::entry::EntryContext;
use crate::fleet::HomeRunner;
use crate::fleet::MembershipEvent;
use crate::fleet::MembershipEventHandler;
use crate::fleet::poison_wire;
use crate::peer::PeerPool;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Passes membership events to the components of this host: hosts that joined or died, a pause of
/// this host, and other hosts' reports of requests that crash upstreams.
pub(crate) struct MembershipHandler {
    pub(crate) entry: Arc<EntryContext>,
    pub(crate) homes: Arc<HomeRunner>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) domain: FailureDomainId,
}

impl MembershipHandler {
    /// Whether a host is in this host's failure domain; false for a host that is not known.
    fn is_in_same_domain(&self, host: &HostId) -> bool {
        let view = self.entry.cluster_view.hosts.get(host);
        view.is_some_and(|view| view.domain == self.domain)
    }
}

impl MembershipEventHandler for MembershipHandler {
    fn on_events(&self, events: Vec<MembershipEvent>) {
        for event in events {
            match event {
                MembershipEvent::HostAlive(host) if self.is_in_same_domain(&host) => {
                    self.homes.send_to_all_homes(&HomeEvent::HostAlive(host));
                }
                // Homes learn of hosts in other failure domains from the announcements of those
                // hosts.
                MembershipEvent::HostAlive(_) => {}
                MembershipEvent::HostDead(host) => {
                    self.peers.disconnect(&host);
                    // Homes compare the number of dead hosts with the number of live ones, so both
                    // must come from the same failure domain.
                    if self.is_in_same_domain(&host) {
                        self.homes.send_to_all_homes(&HomeEvent::HostDead(host));
                    }
                }
                MembershipEvent::PausedOrDeclaredDead => self.homes.hand_over_all(),
                MembershipEvent::Poison(notice) => {
                    let now = self.entry.clock.now();
                    if let Some(poison) = poison_wire::decode_notice(&notice)
                        && self.entry.poison_list().merge(&poison, now)
                    {
                        info!(
                            "poison: another host reported that {:?} crashed an upstream",
                            poison.fingerprint
                        );
                    }
                }
            }
        }
    }
}
