//! A policy that dispatches each request at once.

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
use crate::decide::baseline::Member;
use crate::decide::baseline::Picker;
use crate::decide::gang_share;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// When a caller that found no upstream should come back at the earliest.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Dispatches each request at once to the upstream that its [`Picker`] chooses; a prompt larger than
/// one engine goes to as many as it needs.
pub struct Direct<P> {
    picker: P,
    members: IndexMap<UpstreamId, Member>,
    grants: IndexMap<GrantId, LiveGrant>,
    due: Vec<Decision>,
    rng: StdRng,
}

impl<P: Picker> Direct<P> {
    /// A policy without upstreams.
    pub fn new(picker: P, seed: u64) -> Self {
        Self {
            picker,
            members: IndexMap::new(),
            grants: IndexMap::new(),
            due: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// As many upstreams as the work needs; those that failed it before come last.
    fn choose(&mut self, work: &Work, now: Instant) -> Result<Vec<UpstreamId>, RefuseReason> {
        let mut open: Vec<&Member> = self.members.values().filter(|m| m.is_open()).collect();
        if open.is_empty() {
            return Err(RefuseReason::NoUpstream);
        }
        let wanted = gang_size(work.memory_tokens(), &open).ok_or(RefuseReason::TooLarge)?;
        let fresh = |member: &&Member| !work.avoid.contains(&member.info.id);
        if open.iter().filter(|member| fresh(member)).count() >= wanted {
            open.retain(fresh);
        }
        let mut chosen = Vec::with_capacity(wanted);
        for _ in 0..wanted {
            let index = self.picker.pick(work, &open, now);
            chosen.push(open.swap_remove(index).info.id.clone());
        }
        chosen.sort();
        Ok(chosen)
    }

    fn hold(&mut self, grant: LiveGrant) {
        let share = gang_share(grant.work.memory_tokens(), grant.upstreams.len());
        let prompt = gang_share(grant.work.prompt_tokens, grant.upstreams.len());
        for id in &grant.upstreams {
            if let Some(member) = self.members.get_mut(id) {
                member.in_flight += 1;
                member.held_tokens += share;
                member.sent_tokens += prompt;
            }
        }
        self.grants.insert(grant.id, grant);
    }

    fn refuse(&mut self, request: RequestId, reason: RefuseReason) {
        let jitter = self.rng.random_range(1.0..2.0);
        self.due.push(Decision::Refuse {
            request,
            reason,
            retry_after: RETRY_AFTER_MIN.mul_f64(jitter),
        });
    }
}

impl<P: Picker> Policy for Direct<P> {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], _now: Instant) {
        let mut old = mem::take(&mut self.members);
        for seen in upstreams {
            let mut member = old
                .swap_remove(&seen.id)
                .unwrap_or_else(|| Member::new(seen.clone()));
            member.info = seen.clone();
            self.members.insert(seen.id.clone(), member);
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
        self.due.push(Decision::Dispatch(Grant {
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
        mem::take(&mut self.due)
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
            if let Some(member) = self.members.get_mut(id) {
                member.in_flight = member.in_flight.saturating_sub(1);
                member.held_tokens = member.held_tokens.saturating_sub(share);
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
        if let Some(member) = self.members.get_mut(upstream) {
            member.report = report.clone();
            member.sent_tokens = Tokens::ZERO;
        }
    }

    fn on_cache_events(&mut self, _upstream: &UpstreamId, _events: &[CacheEvent], _now: Instant) {}

    fn load(&self, _now: Instant) -> PoolLoad {
        let open = || self.members.values().filter(|member| member.is_open());
        let free = |member: &Member| member.info.memory_tokens.saturating_sub(member.held_tokens);
        PoolLoad {
            waiting: 0,
            running: self.grants.len() as u64,
            short_wait: Duration::ZERO,
            free_tokens: open().map(free).sum(),
            upstreams: u32::try_from(open().count()).unwrap_or(u32::MAX),
        }
    }
}

/// How many of the open upstreams hold this much memory together; none if all do not.
fn gang_size(memory: Tokens, open: &[&Member]) -> Option<usize> {
    let least = open.iter().map(|member| member.info.memory_tokens).min()?;
    if least == Tokens::ZERO {
        return Some(1);
    }
    let wanted = usize::try_from(memory.0.div_ceil(least.0)).ok()?.max(1);
    (wanted <= open.len()).then_some(wanted)
}
