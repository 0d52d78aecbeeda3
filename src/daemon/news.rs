//! Acts on changes of the membership.

use std::sync::Arc;

use log::info;

use crate::control::home::HomeEvent;
use crate::entry::EntryParts;
use crate::fleet::HomeRunner;
use crate::fleet::MembershipEvent;
use crate::fleet::MembershipEventHandler;
use crate::fleet::poison_wire;
use crate::peer::PeerPool;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Tells the parts of a host what has changed among the others.
pub(crate) struct News {
    pub(crate) parts: Arc<EntryParts>,
    pub(crate) homes: Arc<HomeRunner>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) domain: FailureDomainId,
}

impl News {
    fn is_neighbour(&self, host: &HostId) -> bool {
        let view = self.parts.cluster_view.hosts.get(host);
        view.is_some_and(|view| view.domain == self.domain)
    }
}

impl MembershipEventHandler for News {
    fn on_events(&self, news: Vec<MembershipEvent>) {
        for item in news {
            match item {
                MembershipEvent::HostAlive(host) if self.is_neighbour(&host) => {
                    self.homes.send_to_all_homes(&HomeEvent::HostAlive(host));
                }
                // A home learns of hosts of other failure domains when they announce something.
                MembershipEvent::HostAlive(_) => {}
                MembershipEvent::HostDead(host) => {
                    self.peers.disconnect(&host);
                    // The dead are weighed against the living, so that both count in one domain.
                    if self.is_neighbour(&host) {
                        self.homes.send_to_all_homes(&HomeEvent::HostDead(host));
                    }
                }
                MembershipEvent::PausedOrDeclaredDead => self.homes.hand_over_all(),
                MembershipEvent::Poison(notice) => {
                    let now = self.parts.clock.now();
                    if let Some(poison) = poison_wire::decode_notice(&notice)
                        && self.parts.poison_list().merge(&poison, now)
                    {
                        info!(
                            "poison: another host saw {:?} crash an upstream",
                            poison.fingerprint
                        );
                    }
                }
            }
        }
    }
}
