//! Requests that wait for one lane: by priority, by customer, by deadline, and out at once when
//! their time has run out.
//!
//! Load it answers: more work than engines, for any length of time. Without it work waits inside the
//! engines, in the order of arrival, and is finished after its caller has gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::QueuedRequest;
use crate::decide::rank_queue::Place;
use crate::decide::rank_queue::RankQueue;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestId;

/// The part of what is served that lower priorities get when higher ones would take all: enough that
/// an audit of low rank still ends, little enough that the first rank does not notice.
const LOWER_PART: f64 = 0.1;

/// A queue over priorities.
#[derive(Debug, Default)]
pub struct FairQueue {
    ranks: BTreeMap<Priority, RankQueue>,
    places: IndexMap<RequestId, (Priority, Place)>,
    expiry: BTreeSet<(Instant, u64, RequestId)>,
    next_seq: u64,
    /// Cost that lower priorities are owed.
    owed: f64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request; one that is there already is left as it is.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let request = waiting.work.request;
        if self.places.contains_key(&request) {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let rank = waiting.work.priority;
        self.expiry.insert((waiting.work.deadline, seq, request));
        let place = self.ranks.entry(rank).or_default().push(waiting, seq);
        self.places.insert(request, (rank, place));
    }

    /// Up to `limit` requests in the order in which they should go.
    pub fn heads(&self, limit: usize) -> Vec<&QueuedRequest> {
        let mut heads = Vec::with_capacity(limit);
        let owed = self.owed_rank();
        if let Some(first) = owed.and_then(|rank| self.ranks.get(&rank)) {
            heads.extend(first.heads(1));
        }
        for (rank, queue) in &self.ranks {
            let left = limit.saturating_sub(heads.len());
            if left == 0 {
                break;
            }
            let skipped = usize::from(owed == Some(*rank));
            heads.extend(queue.heads(left + skipped).into_iter().skip(skipped));
        }
        heads
    }

    /// A request that waits.
    pub fn get(&self, request: &RequestId) -> Option<&QueuedRequest> {
        let (rank, place) = self.places.get(request)?;
        self.ranks.get(rank)?.get(place)
    }

    /// Takes a request out to be served, and charges its account.
    pub fn take(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let waiting = self.remove_from_rank(request, true)?;
        let rank = waiting.work.priority;
        if self.first_rank().is_some_and(|first| first < rank) {
            self.owed = (self.owed - waiting.cost()).max(0.0);
        } else if self.lower_rank(rank).is_some() {
            self.owed += waiting.cost() * LOWER_PART;
        } else {
            self.owed = 0.0;
        }
        Some(waiting)
    }

    /// Takes a request out that is not served.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        self.remove_from_rank(request, false)
    }

    /// Takes out the requests whose time has run out.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some((deadline, _, request)) = self.expiry.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove_from_rank(&request, false));
        }
        expired
    }

    /// When the next request's time runs out.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|(deadline, _, _)| *deadline)
    }

    /// The cost that is served before a new request of this rank and account.
    pub fn cost_ahead(&self, rank: Priority, account: &CustomerId, share: u32) -> f64 {
        let above: f64 = self
            .ranks
            .range(..rank)
            .map(|(_, queue)| queue.cost())
            .sum();
        let beside = self.ranks.get(&rank);
        above + beside.map_or(0.0, |queue| queue.cost_ahead(account, share))
    }

    /// The cost of all requests.
    pub fn cost(&self) -> f64 {
        self.ranks.values().map(RankQueue::cost).sum()
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn remove_from_rank(&mut self, request: &RequestId, is_served: bool) -> Option<QueuedRequest> {
        let (rank, place) = self.places.swap_remove(request)?;
        self.expiry.remove(&(place.1, place.2, *request));
        self.ranks.get_mut(&rank)?.remove(&place, is_served)
    }

    fn first_rank(&self) -> Option<Priority> {
        let waiting = self.ranks.iter().find(|(_, queue)| !queue.is_empty());
        waiting.map(|(rank, _)| *rank)
    }

    fn lower_rank(&self, than: Priority) -> Option<Priority> {
        let mut lower = self.ranks.range(Priority(than.0.saturating_add(1))..);
        let waiting = lower.find(|(_, queue)| !queue.is_empty());
        waiting.map(|(rank, _)| *rank).filter(|rank| *rank > than)
    }

    /// The lower rank that is served next because enough is owed to it.
    fn owed_rank(&self) -> Option<Priority> {
        let lower = self.lower_rank(self.first_rank()?)?;
        let head = self.ranks.get(&lower)?.heads(1);
        (head.first()?.cost() <= self.owed).then_some(lower)
    }
}
