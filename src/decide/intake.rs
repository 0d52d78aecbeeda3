//! The intake of requests, common to all shipped policies: accounts, rates and pending decisions.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::CustomerBucket;
use crate::decide::CustomerShare;
use crate::decide::Decision;
use crate::decide::Grant;
use crate::decide::PolicyConfig;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::retry_after;
use crate::units::CustomerId;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::UpstreamId;

/// The rate limits of accounts and the decisions that have not been returned yet, with the policy's
/// configuration and the random source of grant ids and of the jitter of retry times.
#[derive(Debug)]
pub(crate) struct Intake {
    /// The policy's configuration.
    pub(crate) conf: PolicyConfig,
    /// The source of grant ids and of the jitter of retry times.
    pub(crate) rng: StdRng,
    buckets: IndexMap<CustomerId, CustomerBucket>,
    pending: Vec<Decision>,
}

impl Intake {
    /// Creates an intake without pending decisions, in which no account has used its rate.
    pub(crate) fn new(conf: PolicyConfig, seed: u64) -> Self {
        Self {
            conf,
            rng: StdRng::seed_from_u64(seed),
            buckets: IndexMap::new(),
            pending: Vec::new(),
        }
    }

    /// The account that a customer's requests are charged to, and its share. All customers that are
    /// not listed use one account, so that made-up names get no shares of their own and use no
    /// memory.
    pub(crate) fn account(&self, customer: &CustomerId) -> (CustomerId, CustomerShare) {
        let share = self.conf.customer(customer);
        if self.conf.customers.contains_key(customer) {
            (customer.clone(), share)
        } else {
            (self.conf.default_account.clone(), share)
        }
    }

    /// Charges one request to the account's rate. Returns false, and charges nothing, if the
    /// account has exceeded its rate.
    pub(crate) fn charge_rate(
        &mut self,
        account: &CustomerId,
        share: &CustomerShare,
        now: Instant,
    ) -> bool {
        let new = || CustomerBucket::new(share, now);
        let bucket = self.buckets.entry(account.clone()).or_insert_with(new);
        bucket.take(share, now)
    }

    /// Adds a refusal to the pending decisions. The caller is told to retry after about the time
    /// `drain` that the queue takes to drain.
    pub(crate) fn refuse(&mut self, request: RequestId, reason: RefuseReason, drain: Duration) {
        let retry_after = retry_after(drain, &mut self.rng);
        self.pending.push(Decision::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    /// Adds a grant for a queued request to the pending decisions and returns its new id. `why` is
    /// the reason for the choice of upstreams in a few words.
    pub(crate) fn grant(
        &mut self,
        waiting: &QueuedRequest,
        upstreams: Vec<UpstreamId>,
        why: &'static str,
        now: Instant,
    ) -> GrantId {
        let id = GrantId(self.rng.random());
        self.pending.push(Decision::Dispatch(Grant {
            id,
            request: waiting.work.request,
            upstreams,
            waited: now.saturating_duration_since(waiting.since),
            why,
        }));
        id
    }

    /// Removes and returns the pending decisions.
    pub(crate) fn take_decisions(&mut self) -> Vec<Decision> {
        mem::take(&mut self.pending)
    }
}
