//! Handles membership changes.

use std::sync::Arc;

use log::info;

use crate::control::home::HomeEvent;
use crate::entry::EntryContext;
use crate::fleet::FleetNews;
use crate::fleet::HomeDesk;
use crate::fleet::NewsSink;
use crate::fleet::poison_wire;
use crate::peer::PeerPool;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Passes changes of the membership and poison reports of other hosts to the components of this
/// host.
pub(crate) struct MembershipHandler {
    pub(crate) entry: Arc<EntryContext>,
    pub(crate) homes: Arc<HomeDesk>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) domain: FailureDomainId,
}

impl MembershipHandler {
    fn is_in_same_domain(&self, host: &HostId) -> bool {
        let view = self.entry.cluster_view.hosts.get(host);
        view.is_some_and(|view| view.domain == self.domain)
    }
}

impl NewsSink for MembershipHandler {
    fn take(&self, news: Vec<FleetNews>) {
        for item in news {
            match item {
                FleetNews::HostAlive(host) if self.is_in_same_domain(&host) => {
                    self.homes.tell_all(&HomeEvent::HostAlive(host));
                }
                // Homes learn of hosts in other failure domains from the announcements of those
                // hosts.
                FleetNews::HostAlive(_) => {}
                FleetNews::HostDead(host) => {
                    self.peers.reset(&host);
                    // Homes compare the number of dead hosts with the number of live ones, so both
                    // must come from the same failure domain.
                    if self.is_in_same_domain(&host) {
                        self.homes.tell_all(&HomeEvent::HostDead(host));
                    }
                }
                FleetNews::DropWhatIsHeld => self.homes.hand_over(),
                FleetNews::Poison(notice) => {
                    let now = self.entry.clock.now();
                    if let Some(poison) = poison_wire::poison_of(&notice)
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
