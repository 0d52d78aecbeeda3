//! The queue of one lane, ordered by priority, then by customer share, then by deadline.
//!
//! Requests leave the queue as soon as their deadline has passed. The queue holds the work that
//! exceeds the capacity of the engines. Without it requests would wait inside the engines in the
//! order of arrival and would be finished after their callers have gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::QueueEntry;
use crate::decide::QueuedRequest;
use crate::decide::priority_level::PriorityLevel;
use crate::decide::priority_level::QueueKey;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestId;

/// The fraction of the served cost that lower priorities get when higher ones would take all of it:
/// enough for a long request of low priority to end, too little for the first priority to notice.
const LOWER_PRIORITY_FRACTION: f64 = 0.1;

/// A queue of requests of all priorities, fair between customers. Costs are in any one unit.
#[derive(Debug)]
pub struct FairQueue<T = QueuedRequest> {
    levels: BTreeMap<Priority, PriorityLevel<T>>,
    keys: IndexMap<RequestId, (Priority, QueueKey)>,
    /// The queued requests by deadline, each with the sequence number of its key.
    expiry: BTreeSet<(Instant, u64, RequestId)>,
    next_seq: u64,
    /// The common credit of all lower priorities, in the unit of the costs. The credit grows while the highest
    /// priority is served and pays for requests of lower ones.
    lower_credit: f64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
            keys: IndexMap::new(),
            expiry: BTreeSet::new(),
            next_seq: 0,
            lower_credit: 0.0,
        }
    }
}

impl<T: QueueEntry> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request. A request that is already queued stays unchanged.
    pub fn push(&mut self, waiting: T) {
        let request = waiting.request();
        if self.keys.contains_key(&request) {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let priority = waiting.priority();
        self.expiry.insert((waiting.deadline(), seq, request));
        let key = self.levels.entry(priority).or_default().push(waiting, seq);
        self.keys.insert(request, (priority, key));
    }

    /// Up to `limit` requests in the order in which they should be dispatched. The requests stay in
    /// the queue.
    pub fn heads(&self, limit: usize) -> Vec<&T> {
        let mut heads = Vec::with_capacity(limit);
        let credited = self.credited_priority();
        if let Some(first) = credited.and_then(|priority| self.levels.get(&priority)) {
            heads.extend(first.heads(1));
        }
        for (priority, level) in &self.levels {
            let remaining = limit.saturating_sub(heads.len());
            if remaining == 0 {
                break;
            }
            let skip = usize::from(credited == Some(*priority));
            heads.extend(level.heads(remaining + skip).into_iter().skip(skip));
        }
        heads
    }

    /// The queued request with this id; `None` if it is not in the queue.
    pub fn get(&self, request: &RequestId) -> Option<&T> {
        let (priority, key) = self.keys.get(request)?;
        self.levels.get(priority)?.get(key)
    }

    /// Removes a request to be served, and charges its cost to its account. A request of the
    /// highest priority also adds to the credit of lower priorities, or clears the credit if no
    /// lower priority has requests. A request of a lower priority uses the credit. `None` if the
    /// request is not in the queue.
    pub fn take(&mut self, request: &RequestId) -> Option<T> {
        let waiting = self.remove_from_level(request, true)?;
        let priority = waiting.priority();
        if self.first_priority().is_some_and(|first| first < priority) {
            self.lower_credit = (self.lower_credit - waiting.cost()).max(0.0);
        } else if self.next_lower_priority(priority).is_some() {
            self.lower_credit += waiting.cost() * LOWER_PRIORITY_FRACTION;
        } else {
            self.lower_credit = 0.0;
        }
        Some(waiting)
    }

    /// Removes a request that is not served, and charges nothing. `None` if the request is not in
    /// the queue.
    pub fn remove(&mut self, request: &RequestId) -> Option<T> {
        self.remove_from_level(request, false)
    }

    /// Removes and returns the requests whose deadline has passed, and charges nothing.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((deadline, _, request)) = self.expiry.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove_from_level(&request, false));
        }
        expired
    }

    /// The earliest deadline of all queued requests.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|(deadline, _, _)| *deadline)
    }

    /// The cost that is served before a new request of this priority, from an account with this
    /// share: all cost of higher priorities, and within the priority the cost that is served until
    /// the account's fair share reaches the request.
    pub fn cost_ahead(&self, priority: Priority, account: &CustomerId, share: u32) -> f64 {
        let higher: f64 = self
            .levels
            .range(..priority)
            .map(|(_, level)| level.cost())
            .sum();
        let level = self.levels.get(&priority);
        higher + level.map_or(0.0, |level| level.cost_ahead(account, share))
    }

    /// The cost of all queued requests.
    pub fn cost(&self) -> f64 {
        self.levels.values().map(PriorityLevel::cost).sum()
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn remove_from_level(&mut self, request: &RequestId, is_served: bool) -> Option<T> {
        let (priority, key) = self.keys.swap_remove(request)?;
        self.expiry.remove(&(key.1, key.2, *request));
        self.levels.get_mut(&priority)?.remove(&key, is_served)
    }

    /// The highest priority that has queued requests.
    pub fn first_priority(&self) -> Option<Priority> {
        let non_empty = self.levels.iter().find(|(_, level)| !level.is_empty());
        non_empty.map(|(priority, _)| *priority)
    }

    /// The highest priority below `than` that has queued requests.
    fn next_lower_priority(&self, than: Priority) -> Option<Priority> {
        let mut lower = self.levels.range(Priority(than.0.saturating_add(1))..);
        let non_empty = lower.find(|(_, level)| !level.is_empty());
        non_empty
            .map(|(priority, _)| *priority)
            .filter(|priority| *priority > than)
    }

    /// The priority that is served before the highest one: the next lower priority with queued
    /// requests, if the credit covers the cost of its first request; otherwise `None`.
    fn credited_priority(&self) -> Option<Priority> {
        let lower = self.next_lower_priority(self.first_priority()?)?;
        let head = self.levels.get(&lower)?.heads(1);
        (head.first()?.cost() <= self.lower_credit).then_some(lower)
    }
}
