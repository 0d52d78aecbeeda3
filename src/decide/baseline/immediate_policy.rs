//! A baseline policy that dispatches each request immediately.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decide::AttemptSummary;
use crate::decide::Decision;
use crate::decide::Grant;
use crate::decide::LiveGrant;
use crate::decide::Policy;
use crate::decide::PoolLoad;
use crate::decide::RefuseReason;
use crate::decide::UpstreamInfo;
use crate::decide::Work;
use crate::decide::baseline::BaselineUpstream;
use crate::decide::baseline::Picker;
use crate::decide::gang_share;
use crate::units::BoundedTime;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// The least time after which a refused caller should retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// A policy that dispatches each request immediately to the upstream chosen by its [`Picker`].
///
/// A prompt that exceeds the memory of one engine is dispatched to as many engines as it needs.
pub struct ImmediatePolicy<P> {
    picker: P,
    upstreams: IndexMap<UpstreamId, BaselineUpstream>,
    grants: IndexMap<GrantId, LiveGrant>,
    pending: Vec<Decision>,
    rng: StdRng,
}

impl<P: Picker> ImmediatePolicy<P> {
    /// Creates a policy without upstreams.
    pub fn new(picker: P, seed: u64) -> Self {
        Self {
            picker,
            upstreams: IndexMap::new(),
            grants: IndexMap::new(),
            pending: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses as many upstreams as the work needs. Upstreams on which it failed before come last.
    fn choose(&mut self, work: &Work, now: Instant) -> Result<Vec<UpstreamId>, RefuseReason> {
        let mut open: Vec<&BaselineUpstream> =
            self.upstreams.values().filter(|u| u.is_open()).collect();
        if open.is_empty() {
            return Err(RefuseReason::NoUpstream);
        }
        let wanted = gang_size(work.memory_tokens(), &open).ok_or(RefuseReason::TooLarge)?;
        let is_untried = |upstream: &&BaselineUpstream| !work.avoid.contains(&upstream.info.id);
        if open.iter().filter(|upstream| is_untried(upstream)).count() >= wanted {
            open.retain(is_untried);
        }
        let mut chosen = Vec::with_capacity(wanted);
        for _ in 0..wanted {
            let index = self.picker.pick(work, &open, now);
            chosen.push(open.swap_remove(index).info.id.clone());
        }
        chosen.sort();
        Ok(chosen)
    }

    /// Adds a live grant to the work of its upstreams, in even shares.
    fn hold(&mut self, grant: LiveGrant) {
        let share = gang_share(grant.work.memory_tokens(), grant.upstreams.len());
        let prompt = gang_share(grant.work.prompt_tokens, grant.upstreams.len());
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.in_flight += 1;
                upstream.held_tokens += share;
                upstream.sent_tokens += prompt;
            }
        }
        self.grants.insert(grant.id, grant);
    }

    /// Adds a refusal to the pending decisions, with a retry time that has jitter.
    fn refuse(&mut self, request: RequestId, reason: RefuseReason) {
        let jitter = self.rng.random_range(1.0..2.0);
        self.pending.push(Decision::Refuse {
            request,
            reason,
            retry_after: RETRY_AFTER_MIN.scaled(jitter),
        });
    }
}

impl<P: Picker> Policy for ImmediatePolicy<P> {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], _now: Instant) {
        let mut old = mem::take(&mut self.upstreams);
        for info in upstreams {
            let mut upstream = old
                .swap_remove(&info.id)
                .unwrap_or_else(|| BaselineUpstream::new(info.clone()));
            upstream.info = info.clone();
            self.upstreams.insert(info.id.clone(), upstream);
        }
    }

    fn offer(&mut self, work: Work, now: Instant) {
        if work.deadline <= now {
            self.refuse(work.request, RefuseReason::Expired);
            return;
        }
        let upstreams = match self.choose(&work, now) {
            Ok(upstreams) => upstreams,
            Err(reason) => {
                self.refuse(work.request, reason);
                return;
            }
        };
        let id = GrantId(self.rng.random());
        self.pending.push(Decision::Dispatch(Grant {
            id,
            request: work.request,
            upstreams: upstreams.clone(),
            waited: Duration::ZERO,
            why: "baseline",
        }));
        self.hold(LiveGrant {
            id,
            work,
            upstreams,
        });
    }

    fn withdraw(&mut self, _request: RequestId, _now: Instant) {}

    fn poll(&mut self, _now: Instant) -> Vec<Decision> {
        mem::take(&mut self.pending)
    }

    fn next_wake(&self) -> Option<Instant> {
        None
    }

    fn finish(&mut self, grant: GrantId, _done: AttemptSummary, _now: Instant) {
        let Some(grant) = self.grants.swap_remove(&grant) else {
            return;
        };
        let share = gang_share(grant.work.memory_tokens(), grant.upstreams.len());
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.in_flight = upstream.in_flight.saturating_sub(1);
                upstream.held_tokens = upstream.held_tokens.saturating_sub(share);
            }
        }
    }

    fn adopt(&mut self, grant: LiveGrant, _now: Instant) {
        if !self.grants.contains_key(&grant.id) {
            self.hold(grant);
        }
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.grants.values().cloned().collect()
    }

    fn on_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, _now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.report = report.clone();
            upstream.sent_tokens = Tokens::ZERO;
        }
    }

    fn on_cache_events(&mut self, _upstream: &UpstreamId, _events: &[CacheEvent], _now: Instant) {}

    fn load(&self, _now: Instant) -> PoolLoad {
        let open = || {
            self.upstreams
                .values()
                .filter(|upstream| upstream.is_open())
        };
        let free = |upstream: &BaselineUpstream| {
            upstream
                .info
                .memory_tokens
                .saturating_sub(upstream.held_tokens)
        };
        PoolLoad {
            waiting: 0,
            running: self.grants.len() as u64,
            short_wait: Duration::ZERO,
            free_tokens: open().map(free).sum(),
            upstreams: u32::try_from(open().count()).unwrap_or(u32::MAX),
        }
    }
}

/// The number of open upstreams that a request needs for `memory` tokens, in even shares that fit
/// into the smallest of them; `None` if there are not enough. Upstreams without memory are plain
/// services, of which a request needs one.
fn gang_size(memory: Tokens, open: &[&BaselineUpstream]) -> Option<usize> {
    let least = open
        .iter()
        .map(|upstream| upstream.info.memory_tokens)
        .min()?;
    if least == Tokens::ZERO {
        return Some(1);
    }
    let wanted = usize::try_from(memory.0.div_ceil(least.0)).ok()?.max(1);
    (wanted <= open.len()).then_some(wanted)
}
