//! The shipped policy for a pool of model engines.

mod admission;
mod assignment;
mod dispatch;
mod place_outcome;

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::AttemptSummary;
use crate::decide::Decision;
use crate::decide::EngineFleet;
use crate::decide::Estimator;
use crate::decide::FairQueue;
use crate::decide::Intake;
use crate::decide::Lane;
use crate::decide::LiveGrant;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::UpstreamInfo;
use crate::decide::Work;
use crate::decide::shipped::GrantRecord;
use crate::decide::shipped::PoolQueues;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::units::UpstreamId;
use crate::units::seconds;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// The shortest time between two polls while requests wait. An engine that becomes ready in the
/// meantime is still busy with the backlog that the tuning's headroom allows.
const WAKE_MIN: Duration = Duration::from_millis(2);
/// The longest time between two polls while requests wait, so that time-dependent state advances.
const WAKE_MAX: Duration = Duration::from_millis(100);

/// The shipped policy for a pool of model engines.
///
/// Requests wait in the queue of their lane, or in that for gangs if no engine can hold them alone,
/// until an engine has room for them.
#[derive(Debug)]
pub struct EnginePolicy {
    intake: Intake,
    fleet: EngineFleet,
    estimator: Estimator,
    queues: PoolQueues,
    grants: IndexMap<GrantId, GrantRecord>,
    wake: Option<Instant>,
}

impl EnginePolicy {
    /// Creates a policy without upstreams. `speed` is the assumed prefill speed of engines of which
    /// nothing is known yet.
    pub fn new(conf: PolicyConfig, speed: TokensPerSecond, seed: u64) -> Self {
        let fleet = EngineFleet::new(conf.tuning.clone(), speed);
        Self {
            intake: Intake::new(conf, seed),
            fleet,
            estimator: Estimator::new(),
            queues: PoolQueues::default(),
            grants: IndexMap::new(),
            wake: None,
        }
    }

    fn lane_of(&self, waiting: &QueuedRequest) -> Lane {
        self.fleet.tuning.lane(waiting.prompt_tokens)
    }

    /// Refuses a request that is no longer queued.
    fn refuse(&mut self, waiting: &QueuedRequest, reason: RefuseReason, now: Instant) {
        let drain = self.drain_time(self.lane_of(waiting), now);
        self.intake.refuse(waiting.work.request, reason, drain);
    }

    /// Removes the requests whose deadline has passed from the queues and refuses them.
    fn refuse_expired(&mut self, now: Instant) {
        let expired = self.queues.take_expired(now);
        for waiting in expired {
            self.refuse(&waiting, RefuseReason::Expired, now);
        }
    }

    /// How long the first request of the long lane has waited; `None` if the lane is empty.
    fn long_head_wait(&self, now: Instant) -> Option<Duration> {
        let head = self.queues.long.queue.heads(1).first().copied()?;
        Some(now.saturating_duration_since(head.since))
    }

    /// Sets the time of the next poll: when an engine is expected to be ready, or a request
    /// expires.
    fn plan_wake(&mut self, now: Instant) {
        if self.queues.len() == 0 {
            self.wake = None;
            return;
        }
        let is_short_waiting = !self.queues.short.queue.is_empty();
        let engines = self.fleet.open_upstreams(now).filter(|_| is_short_waiting);
        let ready = engines
            .map(|u| seconds(u.ledger.lane_backlog(Lane::Short) / u.ledger.speed.get()))
            .min();
        let ready_at = now + ready.unwrap_or(WAKE_MAX).clamp(WAKE_MIN, WAKE_MAX);
        let expiry = self.queues.all().filter_map(FairQueue::next_expiry).min();
        self.wake = Some(expiry.map_or(ready_at, |expiry| expiry.min(ready_at)));
    }
}

impl Policy for EnginePolicy {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant) {
        self.queues.gangs.release_reservation(&mut self.fleet);
        self.fleet.set_upstreams(upstreams, now);
    }

    fn set_config(&mut self, conf: &PolicyConfig, _now: Instant) {
        self.intake.conf = conf.clone();
        self.fleet.tuning = conf.tuning.clone();
    }

    fn offer(&mut self, work: Work, now: Instant) {
        let waiting = self.queued_request(work, now);
        if let Err((reason, drain)) = self.admit(&waiting, now) {
            self.intake.refuse(waiting.work.request, reason, drain);
            return;
        }
        let lane = self.lane_of(&waiting);
        let tokens = waiting.prompt_tokens.as_f64();
        self.fleet
            .split
            .on_admitted(tokens, lane == Lane::Long, now);
        if self.gang_size(&waiting) > 1 {
            self.queues.gangs.queue.push(waiting);
        } else {
            self.queues.get_mut(lane).queue.push(waiting);
        }
    }

    fn withdraw(&mut self, request: RequestId, _now: Instant) {
        self.queues.remove(&request);
    }

    fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let long_head_wait = self.long_head_wait(now);
        self.fleet
            .advance(long_head_wait, now, &mut self.intake.rng);
        self.refuse_expired(now);
        self.dispatch_gangs(now);
        self.dispatch_lane(Lane::Short, now);
        self.dispatch_lane(Lane::Long, now);
        self.plan_wake(now);
        self.intake.take_decisions()
    }

    fn next_wake(&self) -> Option<Instant> {
        self.wake
    }

    fn finish(&mut self, grant: GrantId, done: AttemptSummary, now: Instant) {
        let Some(record) = self.grants.swap_remove(&grant) else {
            return;
        };
        let work = &record.grant.work;
        self.estimator.observe(work, &record.account, &done);
        let rng = &mut self.intake.rng;
        self.fleet
            .finish_grant(&record.grant, record.hinted_tokens, &done, now, rng);
    }

    fn adopt(&mut self, grant: LiveGrant, now: Instant) {
        if self.grants.contains_key(&grant.id) {
            return;
        }
        let waiting = self.queued_request(grant.work.clone(), now);
        // The progress of the grant is unknown. A short prefill is over by now; a long one may not
        // be, and the engine's next reports correct it.
        let prefill = match self.lane_of(&waiting) {
            Lane::Short => 0.0,
            Lane::Long => waiting.prompt_tokens.as_f64() / grant.upstreams.len().max(1) as f64,
        };
        let first_token = seconds(prefill / self.fleet.median_speed());
        let expected = self.dispatch_forecast(&waiting, first_token).total();
        self.record_grant(grant, &waiting, Tokens::ZERO, (prefill, expected), now);
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.grants
            .values()
            .map(|record| record.grant.clone())
            .collect()
    }

    fn on_load_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        if let Some(upstream) = self.fleet.upstreams.get_mut(upstream) {
            let capacity = upstream.info.memory_tokens;
            upstream.ledger.apply_report(report, capacity, now);
        }
    }

    fn on_cache_events(&mut self, upstream: &UpstreamId, events: &[CacheEvent], now: Instant) {
        if let Some(upstream) = self.fleet.upstreams.get_mut(upstream) {
            upstream.prefix.on_events(events, now);
        }
    }

    fn load(&self, now: Instant) -> PoolLoad {
        let free = self
            .fleet
            .open_upstreams(now)
            .map(|u| u.ledger.free_tokens(u.info.memory_tokens));
        PoolLoad {
            waiting: self.queues.len() as u64,
            running: self.grants.len() as u64,
            short_wait: self.drain_time(Lane::Short, now),
            free_tokens: free.sum(),
            upstreams: u32::try_from(self.fleet.open_upstreams(now).count()).unwrap_or(u32::MAX),
        }
    }
}
