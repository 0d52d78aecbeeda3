//! Broadcasts that are repeated on several outgoing messages.

use indexmap::IndexMap;

use crate::control::membership::conf::BROADCASTS_PER_MESSAGE_MAX;
use crate::peer::message::Gossip;
use crate::peer::message::HostRecord;
use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;

/// Maximum number of broadcasts in the queue. The oldest are dropped first. Hosts that miss a
/// change find it by comparing hashes, or learn of it from the platform.
const QUEUE_MAX: usize = 1_024;

/// The subject of a broadcast. A later broadcast with the same key replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum BroadcastKey {
    Host(String),
    Upstream(String),
    Poison(Vec<u8>),
}

/// A change that is broadcast to all hosts.
#[derive(Clone, Debug)]
pub(crate) enum Broadcast {
    /// The record of a host.
    Host(HostRecord),
    /// A leaving upstream.
    Leaving(LeavingUpstream),
    /// A request that crashed upstreams.
    Poison(PoisonNotice),
}

impl Broadcast {
    fn key(&self) -> BroadcastKey {
        match self {
            Self::Host(record) => BroadcastKey::Host(record.host.clone()),
            Self::Leaving(leaving) => BroadcastKey::Upstream(leaving.upstream.clone()),
            Self::Poison(notice) => BroadcastKey::Poison(notice.content.clone()),
        }
    }
}

/// The broadcasts that are still being sent, the newest last, each with the number of its
/// transmissions.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    entries: IndexMap<BroadcastKey, (Broadcast, usize)>,
}

impl BroadcastQueue {
    /// Adds a broadcast. Replaces an earlier one with the same key, and drops the oldest one if the
    /// queue is full.
    pub(crate) fn push(&mut self, broadcast: Broadcast) {
        let key = broadcast.key();
        self.entries.shift_remove(&key);
        self.entries.insert(key, (broadcast, 0));
        if self.entries.len() > QUEUE_MAX {
            self.entries.shift_remove_index(0);
        }
    }

    /// Attaches broadcasts to a message: those with the fewest transmissions first, and among these
    /// the newest first. A broadcast is dropped after `transmissions_max` transmissions.
    pub(crate) fn attach_to(&mut self, gossip: &mut Gossip, transmissions_max: usize) {
        let mut indices: Vec<usize> = (0..self.entries.len()).rev().collect();
        indices.sort_by_key(|index| self.entries[*index].1);
        for index in indices.into_iter().take(BROADCASTS_PER_MESSAGE_MAX) {
            let (broadcast, transmissions) = &mut self.entries[index];
            *transmissions += 1;
            match broadcast {
                Broadcast::Host(record) => gossip.hosts.push(record.clone()),
                Broadcast::Leaving(leaving) => gossip.leaving.push(leaving.clone()),
                Broadcast::Poison(notice) => gossip.poison.push(notice.clone()),
            }
        }
        self.entries
            .retain(|_, (_, transmissions)| *transmissions < transmissions_max);
    }
}
