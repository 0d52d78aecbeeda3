//! A simple policy: a queue, and the first engine with enough free memory.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::AttemptSummary;
use banyanarch::decide::Decision;
use banyanarch::decide::Grant;
use banyanarch::decide::LiveGrant;
use banyanarch::decide::Policy;
use banyanarch::decide::PoolLoad;
use banyanarch::decide::RefuseReason;
use banyanarch::decide::UpstreamHealth;
use banyanarch::decide::UpstreamInfo;
use banyanarch::decide::Work;
use banyanarch::units::GrantId;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;
use banyanarch::upstream::CacheEvent;
use banyanarch::upstream::LoadReport;
use indexmap::IndexMap;

#[derive(Default)]
pub(crate) struct FirstFit {
    upstreams: Vec<UpstreamInfo>,
    queue: VecDeque<Work>,
    live: IndexMap<GrantId, LiveGrant>,
    first_id: u128,
    granted: u128,
}

impl FirstFit {
    /// A policy that numbers its grants from `first_id`, so that the ids of two homes differ.
    pub(crate) fn new(first_id: u128) -> Self {
        Self {
            first_id,
            ..Self::default()
        }
    }

    fn held_tokens(&self, upstream: &UpstreamId) -> Tokens {
        let here = self
            .live
            .values()
            .filter(|grant| grant.upstreams.contains(upstream));
        here.map(|grant| grant.work.memory_tokens()).sum()
    }

    fn upstream_for(&self, work: &Work) -> Option<UpstreamId> {
        let fits = |info: &&UpstreamInfo| {
            let wanted = self.held_tokens(&info.id) + work.memory_tokens();
            info.health == UpstreamHealth::Live && wanted <= info.memory_tokens
        };
        self.upstreams.iter().find(fits).map(|info| info.id.clone())
    }
}

impl Policy for FirstFit {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], _now: Instant) {
        self.upstreams = upstreams.to_vec();
    }

    fn offer(&mut self, work: Work, _now: Instant) {
        self.queue.push_back(work);
    }

    fn withdraw(&mut self, request: RequestId, _now: Instant) {
        self.queue.retain(|work| work.request != request);
    }

    fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(work) = self.queue.pop_front() {
            if work.deadline <= now {
                decisions.push(Decision::Refuse {
                    request: work.request,
                    reason: RefuseReason::Expired,
                    retry_after: Duration::from_secs(1),
                });
                continue;
            }
            let Some(upstream) = self.upstream_for(&work) else {
                self.queue.push_front(work);
                break;
            };
            let id = GrantId(self.first_id + self.granted);
            self.granted += 1;
            let request = work.request;
            let upstreams = vec![upstream];
            decisions.push(Decision::Dispatch(Grant {
                id,
                request,
                upstreams: upstreams.clone(),
                waited: Duration::ZERO,
                why: "first fit",
            }));
            let grant = LiveGrant {
                id,
                work,
                upstreams,
            };
            self.live.insert(id, grant);
        }
        decisions
    }

    fn next_wake(&self) -> Option<Instant> {
        self.queue.iter().map(|work| work.deadline).min()
    }

    fn finish(&mut self, grant: GrantId, _done: AttemptSummary, _now: Instant) {
        self.live.swap_remove(&grant);
    }

    fn adopt(&mut self, grant: LiveGrant, _now: Instant) {
        self.live.insert(grant.id, grant);
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.live.values().cloned().collect()
    }

    fn on_load_report(&mut self, _upstream: &UpstreamId, _report: &LoadReport, _now: Instant) {}

    fn on_cache_events(&mut self, _upstream: &UpstreamId, _events: &[CacheEvent], _now: Instant) {}

    fn load(&self, _now: Instant) -> PoolLoad {
        PoolLoad::default()
    }
}
