//! Requests of one priority: weighted fair shares between customers, the earliest deadline first
//! inside a share.
//!
//! Load it answers: a few customers send most of it. With one queue for all, the wait of a customer
//! that sends little is set by those that send much.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::QueuedRequest;
use crate::units::CustomerId;

/// Virtual time advances by this for one token of an account with weight 1, so that whole numbers
/// keep order.
const VIRTUAL_PER_TOKEN: f64 = 1_000.0;

/// Where a request stands: its account, its deadline, and a number that tells equals apart.
pub(crate) type Place = (CustomerId, Instant, u64);

/// Start-time fair queueing over accounts.
#[derive(Debug, Default)]
pub(crate) struct RankQueue {
    accounts: IndexMap<CustomerId, Account>,
    /// Accounts that have requests, by virtual start time.
    ready: BTreeSet<(u64, CustomerId)>,
    virtual_now: u64,
    cost: f64,
    shares: u64,
}

#[derive(Debug)]
struct Account {
    by_deadline: BTreeMap<(Instant, u64), QueuedRequest>,
    virtual_start: u64,
    share: u32,
    cost: f64,
}

impl RankQueue {
    pub(crate) fn push(&mut self, waiting: QueuedRequest, seq: u64) -> Place {
        let id = waiting.account.clone();
        let place = (id.clone(), waiting.work.deadline, seq);
        let virtual_now = self.virtual_now;
        let account = self.accounts.entry(id.clone()).or_insert_with(|| Account {
            by_deadline: BTreeMap::new(),
            virtual_start: virtual_now,
            share: waiting.share.max(1),
            cost: 0.0,
        });
        if account.by_deadline.is_empty() {
            account.virtual_start = account.virtual_start.max(virtual_now);
            self.ready.insert((account.virtual_start, id));
            self.shares += u64::from(account.share);
        }
        self.cost += waiting.cost();
        account.cost += waiting.cost();
        account.by_deadline.insert((place.1, seq), waiting);
        place
    }

    /// Up to `limit` requests in the order in which they should go: one for each account by virtual
    /// time, then the next of each.
    pub(crate) fn heads(&self, limit: usize) -> Vec<&QueuedRequest> {
        let mut heads = Vec::with_capacity(limit);
        let accounts = || {
            self.ready
                .iter()
                .filter_map(|(_, id)| self.accounts.get(id))
        };
        for round in 0..limit {
            let before = heads.len();
            let items = accounts().filter_map(|a| a.by_deadline.values().nth(round));
            heads.extend(items.take(limit - before));
            if heads.len() == before || heads.len() == limit {
                break;
            }
        }
        heads
    }

    pub(crate) fn get(&self, place: &Place) -> Option<&QueuedRequest> {
        let account = self.accounts.get(&place.0)?;
        account.by_deadline.get(&(place.1, place.2))
    }

    /// Removes a request. `is_served` charges its account.
    pub(crate) fn remove(&mut self, place: &Place, is_served: bool) -> Option<QueuedRequest> {
        let account = self.accounts.get_mut(&place.0)?;
        let waiting = account.by_deadline.remove(&(place.1, place.2))?;
        self.ready.remove(&(account.virtual_start, place.0.clone()));
        account.cost -= waiting.cost();
        self.cost -= waiting.cost();
        if is_served {
            self.virtual_now = self.virtual_now.max(account.virtual_start);
            account.virtual_start += virtual_cost(waiting.cost(), account.share);
        }
        if account.by_deadline.is_empty() {
            self.shares -= u64::from(account.share);
        } else {
            self.ready.insert((account.virtual_start, place.0.clone()));
        }
        if self.ready.is_empty() {
            self.cost = 0.0;
        }
        Some(waiting)
    }

    /// The cost of all requests.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// The cost that is served before a new request of this account is: all that waits, or less when
    /// the account's fair share comes round sooner.
    pub(crate) fn cost_ahead(&self, id: &CustomerId, share: u32) -> f64 {
        let account = self.accounts.get(id);
        let own = account.map_or(0.0, |account| account.cost);
        let is_ready = account.is_some_and(|account| !account.by_deadline.is_empty());
        let share = u64::from(share.max(1));
        let shares = if is_ready {
            self.shares
        } else {
            self.shares + share
        };
        let by_share = own * shares as f64 / share as f64;
        by_share.min(self.cost).max(0.0)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "far below 2^64 and never negative"
)]
fn virtual_cost(cost: f64, share: u32) -> u64 {
    (cost * VIRTUAL_PER_TOKEN / f64::from(share)) as u64
}
