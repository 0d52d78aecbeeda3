//! What all shipped policies do with requests at the door: accounts, rates, refusals.

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

/// Accounts, rates and decisions that are due.
#[derive(Debug)]
pub(crate) struct Intake {
    pub(crate) conf: PolicyConfig,
    pub(crate) rng: StdRng,
    buckets: IndexMap<CustomerId, CustomerBucket>,
    due: Vec<Decision>,
}

impl Intake {
    pub(crate) fn new(conf: PolicyConfig, seed: u64) -> Self {
        Self {
            conf,
            rng: StdRng::seed_from_u64(seed),
            buckets: IndexMap::new(),
            due: Vec::new(),
        }
    }

    /// The account that a customer's requests are charged to. All that are not listed share one, so
    /// that made-up names neither get shares of their own nor fill the memory.
    pub(crate) fn account(&self, customer: &CustomerId) -> (CustomerId, CustomerShare) {
        let share = self.conf.customer(customer);
        if self.conf.customers.contains_key(customer) {
            (customer.clone(), share)
        } else {
            (self.conf.default_account.clone(), share)
        }
    }

    /// Takes a request out of the account's rate. Returns whether it was within it.
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

    pub(crate) fn refuse(&mut self, request: RequestId, reason: RefuseReason, drain: Duration) {
        let retry_after = retry_after(drain, &mut self.rng);
        self.due.push(Decision::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    pub(crate) fn grant(
        &mut self,
        waiting: &QueuedRequest,
        upstreams: Vec<UpstreamId>,
        why: &'static str,
        now: Instant,
    ) -> GrantId {
        let id = GrantId(self.rng.random());
        self.due.push(Decision::Dispatch(Grant {
            id,
            request: waiting.work.request,
            upstreams,
            waited: now.saturating_duration_since(waiting.since),
            why,
        }));
        id
    }

    pub(crate) fn take_decisions(&mut self) -> Vec<Decision> {
        mem::take(&mut self.due)
    }
}
