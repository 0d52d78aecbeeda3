//! The shipped policy for a pool of model engines.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Admission;
use crate::decide::AttemptSummary;
use crate::decide::Decision;
use crate::decide::EngineFleet;
use crate::decide::Estimator;
use crate::decide::FairQueue;
use crate::decide::Forecast;
use crate::decide::GrantHold;
use crate::decide::Intake;
use crate::decide::Lane;
use crate::decide::LiveGrant;
use crate::decide::Placement;
use crate::decide::PlacementView;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::UpstreamInfo;
use crate::decide::Work;
use crate::decide::engine_priority;
use crate::decide::gang_share;
use crate::decide::placement::duration_from_secs;
use crate::decide::placement::tokens_from_f64;
use crate::decide::shipped::GangStep;
use crate::decide::shipped::GrantRecord;
use crate::decide::shipped::PoolQueues;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// The largest number of requests in all queues together, which take about ten megabytes. Further
/// requests are refused.
const QUEUED_MAX: usize = 10_000;
/// Number of requests at the head of a queue that are tried in one round, so that a request that
/// waits for a certain upstream does not block the others.
const CANDIDATES_MAX: usize = 8;
/// Drain time beyond which the short lane is loaded and customers over their rate are refused.
const SHORT_LOADED_DRAIN: Duration = Duration::from_millis(250);
/// Drain time beyond which the long lane is loaded and customers over their rate are refused.
const LONG_LOADED_DRAIN: Duration = Duration::from_secs(5);
/// Upper bound of the expected duration of a grant. A longer forecast counts as never.
const EXPECTED_TIME_MAX: Duration = Duration::from_secs(86_400);
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

/// The result of an attempt to place a request, which says whether the request is still queued: a
/// granted or refused request has left its queue, a blocked one stays.
enum PlaceOutcome {
    /// The request was granted and is no longer queued.
    Granted,
    /// The request would end after its deadline. It was refused and is no longer queued.
    Refused,
    /// The request stays in its queue, since no upstream has room for it now.
    Blocked,
}

/// The upstreams that a request is granted, leader first, with the forecast for the grant.
struct Assignment {
    upstreams: Vec<UpstreamId>,
    /// Expected prefill at each upstream, in tokens.
    prefill_tokens: f64,
    /// Expected time from the grant to the end of the answer.
    expected: Duration,
    why: &'static str,
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

    /// The request as it is queued: with its account and the estimated lengths of prompt and
    /// answer.
    fn queued_request(&self, work: Work, now: Instant) -> QueuedRequest {
        let (account, share) = self.intake.account(&work.customer);
        let prompt_tokens = self.estimator.prompt_tokens(&work, &account);
        QueuedRequest {
            prompt_tokens,
            output_tokens: self.estimator.output_tokens(&work),
            account,
            share: share.share,
            work,
            since: now,
        }
    }

    /// Decides whether to queue a request, and charges the customer's rate. An error holds the
    /// reason of the refusal and the time that the queue of the lane takes to drain.
    fn admit(
        &mut self,
        waiting: &QueuedRequest,
        now: Instant,
    ) -> Result<(), (RefuseReason, Duration)> {
        if waiting.work.deadline <= now {
            return Err((RefuseReason::Expired, Duration::ZERO));
        }
        if self.fleet.live_upstreams().next().is_none() {
            return Err((RefuseReason::NoUpstream, Duration::ZERO));
        }
        let lane = self.lane_of(waiting);
        let drain = self.drain_time(lane, now);
        if self.queues.len() >= QUEUED_MAX {
            return Err((RefuseReason::QueueFull, drain));
        }
        let (account, share) = self.intake.account(&waiting.work.customer);
        let is_within_rate = self.intake.charge_rate(&account, &share, now);
        let loaded_drain = match lane {
            Lane::Short => SHORT_LOADED_DRAIN,
            Lane::Long => LONG_LOADED_DRAIN,
        };
        if !is_within_rate && drain > loaded_drain {
            return Err((RefuseReason::CustomerLimit, drain));
        }
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        let remaining = remaining.mul_f64(self.fleet.tuning.admit_fraction);
        match self
            .forecast(waiting, lane, now)
            .admission(remaining, self.grants.is_empty())
        {
            Admission::Admit => Ok(()),
            Admission::TooLate => Err((RefuseReason::Deadline, drain)),
        }
    }

    /// The forecast of a request that enters the queue of its lane now.
    fn forecast(&self, waiting: &QueuedRequest, lane: Lane, now: Instant) -> Forecast {
        let cached = self.cached_tokens(&waiting.work, now);
        let prefill = (waiting.prompt_tokens.as_f64() - cached).max(0.0);
        let speed = self.fleet.median_speed() * self.gang_size(waiting) as f64;
        Forecast {
            wait: self
                .queues
                .get(lane)
                .wait_time(waiting, self.nominal_drain(lane, now), now),
            prefill: duration_from_secs(prefill / speed),
            output: self.estimator.output_time(waiting.output_tokens),
        }
    }

    /// Length of the longest prefix of the prompt that any engine has probably cached, in tokens.
    fn cached_tokens(&self, work: &Work, now: Instant) -> f64 {
        if work.prefixes.is_empty() {
            return 0.0;
        }
        let cached = self
            .fleet
            .open_upstreams(now)
            .map(|u| u.prefix.cached_tokens(work, now));
        cached.fold(0.0, f64::max)
    }

    /// The time until the queue of a lane has drained.
    fn drain_time(&self, lane: Lane, now: Instant) -> Duration {
        self.queues
            .get(lane)
            .drain_time(self.nominal_drain(lane, now), now)
    }

    /// Cost per second at which a lane's queue drains while no rate has been observed.
    fn nominal_drain(&self, lane: Lane, now: Instant) -> f64 {
        let all = self.fleet.speed(now).max(1.0);
        let long = self.fleet.split.open_to_long() as f64 * self.fleet.median_speed();
        match lane {
            Lane::Short => (all - long / 2.0).max(all / 4.0),
            Lane::Long => long,
        }
    }

    /// The number of engines that have to hold the request together; 1 if one engine can hold it.
    fn gang_size(&self, waiting: &QueuedRequest) -> usize {
        let largest = self.fleet.largest_memory().0.max(1);
        let size = waiting.memory_tokens().0.div_ceil(largest);
        usize::try_from(size).unwrap_or(usize::MAX).max(1)
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

    /// PlacementView the requests at the head of a lane's queue until no upstream has room for any of
    /// them.
    fn dispatch_lane(&mut self, lane: Lane, now: Instant) {
        while self.placement_view(now).has_room(lane) {
            let heads = self.queues.get(lane).queue.heads(CANDIDATES_MAX);
            let requests: Vec<RequestId> = heads.iter().map(|head| head.work.request).collect();
            let mut outcomes = requests
                .iter()
                .map(|request| self.try_place(request, lane, now));
            if outcomes.all(|outcome| matches!(outcome, PlaceOutcome::Blocked)) {
                break;
            }
        }
        self.queues.get_mut(lane).on_dispatch_end(now);
    }

    /// The state of the pool that placement decides on.
    fn placement_view(&self, now: Instant) -> PlacementView<'_> {
        PlacementView {
            upstreams: &self.fleet.upstreams,
            tuning: &self.fleet.tuning,
            open_to_long: self.fleet.split.open_to_long(),
            median_speed: self.fleet.median_speed(),
            now,
        }
    }

    /// Grants a queued request if an upstream has room for it, or refuses it if it would then end
    /// after its deadline.
    fn try_place(&mut self, request: &RequestId, lane: Lane, now: Instant) -> PlaceOutcome {
        let Some(waiting) = self.queues.get(lane).queue.get(request) else {
            return PlaceOutcome::Blocked;
        };
        let Placement::Dispatch {
            index,
            first_token,
            prefill_tokens,
            why,
        } = self.placement_view(now).choose(waiting, lane)
        else {
            return PlaceOutcome::Blocked;
        };
        let forecast = self.dispatch_forecast(waiting, first_token);
        if self.is_too_late(waiting, forecast, now) {
            if let Some(waiting) = self.queues.get_mut(lane).queue.remove(request) {
                self.refuse(&waiting, RefuseReason::Deadline, now);
            }
            return PlaceOutcome::Refused;
        }
        let upstream = self
            .fleet
            .upstreams
            .get_index(index)
            .map(|(id, _)| id.clone());
        let Some(waiting) = self.queues.get_mut(lane).take(request, now) else {
            return PlaceOutcome::Blocked;
        };
        let assignment = Assignment {
            upstreams: upstream.into_iter().collect(),
            prefill_tokens,
            expected: forecast.total(),
            why,
        };
        self.grant(&waiting, assignment, now);
        PlaceOutcome::Granted
    }

    /// The forecast of a request that is dispatched now and gets its first token after
    /// `first_token`.
    fn dispatch_forecast(&self, waiting: &QueuedRequest, first_token: Duration) -> Forecast {
        Forecast {
            wait: Duration::ZERO,
            prefill: first_token,
            output: self.estimator.output_time(waiting.output_tokens),
        }
    }

    /// Whether the request would end after its deadline according to the forecast. Never true while
    /// the pool has no grants, since only a run can correct a wrong forecast.
    fn is_too_late(&self, waiting: &QueuedRequest, forecast: Forecast, now: Instant) -> bool {
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        forecast.admission(remaining, self.grants.is_empty()) == Admission::TooLate
    }

    /// Grants a request that was taken out of its queue: adds the decision and records the grant.
    fn grant(&mut self, waiting: &QueuedRequest, assignment: Assignment, now: Instant) {
        let id = self
            .intake
            .grant(waiting, assignment.upstreams.clone(), assignment.why, now);
        let leader = assignment
            .upstreams
            .first()
            .and_then(|id| self.fleet.upstreams.get(id));
        let hinted_tokens =
            leader.map_or(Tokens::ZERO, |u| u.prefix.hinted_tokens(&waiting.work, now));
        let grant = LiveGrant {
            id,
            work: waiting.work.clone(),
            upstreams: assignment.upstreams,
        };
        let prefill = assignment.prefill_tokens;
        self.record_grant(
            grant,
            waiting,
            hinted_tokens,
            (prefill, assignment.expected),
            now,
        );
    }

    /// Records a grant in the ledgers of its engines and among the live grants. The pair holds the
    /// expected prefill at each engine in tokens and the expected duration of the grant.
    fn record_grant(
        &mut self,
        grant: LiveGrant,
        waiting: &QueuedRequest,
        hinted_tokens: Tokens,
        (prefill, expected): (f64, Duration),
        now: Instant,
    ) {
        let hold = GrantHold {
            memory_tokens: gang_share(waiting.memory_tokens(), grant.upstreams.len()),
            prefill_tokens: tokens_from_f64(prefill),
            priority: engine_priority(&waiting.work),
            lane: self.fleet.tuning.lane(tokens_from_f64(prefill)),
            is_suspect: waiting.is_suspect(),
            has_waited: now.saturating_duration_since(waiting.since) > self.fleet.tuning.headroom,
            since: now,
            expected: expected.min(EXPECTED_TIME_MAX),
            prefill_ahead: 0.0,
            higher_prefill_mark: 0.0,
        };
        self.fleet.record_grant(&grant, &hold, prefill, now);
        let record = GrantRecord {
            account: waiting.account.clone(),
            hinted_tokens,
            grant,
        };
        self.grants.insert(record.grant.id, record);
    }

    /// Grants or refuses the requests that wait for a gang, until the first has to wait.
    fn dispatch_gangs(&mut self, now: Instant) {
        loop {
            match self.queues.gangs.next_step(&mut self.fleet, now) {
                GangStep::Nothing => return,
                GangStep::TooLarge(waiting) => self.refuse(&waiting, RefuseReason::TooLarge, now),
                GangStep::Grant(waiting, members) => self.grant_gang(&waiting, members, now),
            }
        }
    }

    /// Grants a request on the engines of a gang, or refuses it if it would end after its deadline.
    /// The request was taken out of the queue.
    fn grant_gang(&mut self, waiting: &QueuedRequest, members: Vec<UpstreamId>, now: Instant) {
        let prefill_tokens = waiting.prompt_tokens.as_f64() / members.len().max(1) as f64;
        let first_token = duration_from_secs(prefill_tokens / self.fleet.median_speed());
        let forecast = self.dispatch_forecast(waiting, first_token);
        if self.is_too_late(waiting, forecast, now) {
            self.refuse(waiting, RefuseReason::Deadline, now);
            return;
        }
        let assignment = Assignment {
            upstreams: members,
            prefill_tokens,
            expected: forecast.total(),
            why: "gang",
        };
        self.grant(waiting, assignment, now);
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
            .map(|u| duration_from_secs(u.ledger.lane_backlog(Lane::Short) / u.ledger.speed.get()))
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
        let first_token = duration_from_secs(prefill / self.fleet.median_speed());
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
