//! The queued requests of one priority: weighted fair queueing between customers, and the earliest
//! deadline first within one customer.
//!
//! With one common queue, the few customers that send most of the load would determine the wait of
//! customers that send little.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::QueueEntry;
use crate::units::CustomerId;

/// The advance of virtual time for one unit of cost of an account with weight 1. The factor keeps the
/// order when virtual time is rounded to whole numbers.
const VIRTUAL_TIME_PER_COST: f64 = 1_000.0;

/// The key of a queued request: its account, its deadline, and a sequence number that breaks ties.
pub(crate) type QueueKey = (CustomerId, Instant, u64);

/// The queued requests of one priority, in start-time fair queueing over accounts. All costs are in
/// the unit of the entries.
#[derive(Debug)]
pub(crate) struct PriorityLevel<T> {
    accounts: IndexMap<CustomerId, Account<T>>,
    /// The accounts that have queued requests, by virtual start time.
    ready: BTreeSet<(u64, CustomerId)>,
    /// The greatest virtual start time of any request that has been served.
    virtual_now: u64,
    /// The cost of all queued requests.
    cost: f64,
    /// The sum of the shares of the accounts that have queued requests.
    ready_shares: u64,
}

/// The queued requests of one account. An account without requests keeps its virtual start time.
#[derive(Debug)]
struct Account<T> {
    by_deadline: BTreeMap<(Instant, u64), T>,
    /// The virtual time at which the next request of the account starts.
    virtual_start: u64,
    share: u32,
    cost: f64,
}

impl<T> Default for PriorityLevel<T> {
    fn default() -> Self {
        Self {
            accounts: IndexMap::new(),
            ready: BTreeSet::new(),
            virtual_now: 0,
            cost: 0.0,
            ready_shares: 0,
        }
    }
}

impl<T: QueueEntry> PriorityLevel<T> {
    /// Adds a request and returns its key. An account that had no requests starts no earlier than
    /// the current virtual time, so that it gets no credit for the time in which it sent none.
    pub(crate) fn push(&mut self, waiting: T, seq: u64) -> QueueKey {
        let id = waiting.account().clone();
        let key = (id.clone(), waiting.deadline(), seq);
        let virtual_now = self.virtual_now;
        let account = self.accounts.entry(id.clone()).or_insert_with(|| Account {
            by_deadline: BTreeMap::new(),
            virtual_start: virtual_now,
            share: waiting.share().max(1),
            cost: 0.0,
        });
        if account.by_deadline.is_empty() {
            account.virtual_start = account.virtual_start.max(virtual_now);
            self.ready.insert((account.virtual_start, id));
            self.ready_shares += u64::from(account.share);
        }
        self.cost += waiting.cost();
        account.cost += waiting.cost();
        account.by_deadline.insert((key.1, seq), waiting);
        key
    }

    /// Up to `limit` requests in the order in which they should be dispatched: the first of each
    /// account by virtual time, then the second of each, and so on.
    pub(crate) fn heads(&self, limit: usize) -> Vec<&T> {
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

    /// The queued request with this key; `None` if there is none.
    pub(crate) fn get(&self, key: &QueueKey) -> Option<&T> {
        let account = self.accounts.get(&key.0)?;
        account.by_deadline.get(&(key.1, key.2))
    }

    /// Removes a request, and charges its cost to its account if the request is served.
    pub(crate) fn remove(&mut self, key: &QueueKey, is_served: bool) -> Option<T> {
        let account = self.accounts.get_mut(&key.0)?;
        let waiting = account.by_deadline.remove(&(key.1, key.2))?;
        self.ready.remove(&(account.virtual_start, key.0.clone()));
        account.cost -= waiting.cost();
        self.cost -= waiting.cost();
        if is_served {
            self.virtual_now = self.virtual_now.max(account.virtual_start);
            account.virtual_start += virtual_cost(waiting.cost(), account.share);
        }
        if account.by_deadline.is_empty() {
            self.ready_shares -= u64::from(account.share);
        } else {
            self.ready.insert((account.virtual_start, key.0.clone()));
        }
        if self.ready.is_empty() {
            self.cost = 0.0;
        }
        Some(waiting)
    }

    /// The cost of all queued requests.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// The cost that is served before a new request of an account with this share: all queued cost,
    /// or less if the account's fair share is reached sooner.
    pub(crate) fn cost_ahead(&self, id: &CustomerId, share: u32) -> f64 {
        let account = self.accounts.get(id);
        let own = account.map_or(0.0, |account| account.cost);
        let is_ready = account.is_some_and(|account| !account.by_deadline.is_empty());
        let share = u64::from(share.max(1));
        let shares = if is_ready {
            self.ready_shares
        } else {
            self.ready_shares + share
        };
        let cost_by_share = own * shares as f64 / share as f64;
        cost_by_share.min(self.cost).max(0.0)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }
}

/// The virtual time by which a served request of this cost advances an account with this share.
#[allow(
    clippy::cast_possible_truncation,
    reason = "far below 2^64 and never negative"
)]
fn virtual_cost(cost: f64, share: u32) -> u64 {
    (cost * VIRTUAL_TIME_PER_COST / f64::from(share)) as u64
}
