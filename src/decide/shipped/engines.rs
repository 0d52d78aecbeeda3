//! The shipped policy for a pool of model engines.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Admission;
use crate::decide::Decision;
use crate::decide::Done;
use crate::decide::DrainRate;
use crate::decide::EngineFleet;
use crate::decide::Estimator;
use crate::decide::FairQueue;
use crate::decide::Forecast;
use crate::decide::GangPlan;
use crate::decide::Hold;
use crate::decide::Intake;
use crate::decide::Lane;
use crate::decide::LiveGrant;
use crate::decide::Placement;
use crate::decide::Places;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::RefuseReason;
use crate::decide::Reservation;
use crate::decide::UpstreamSeen;
use crate::decide::Waiting;
use crate::decide::Work;
use crate::decide::engine_priority;
use crate::decide::gang_has_room;
use crate::decide::gang_share;
use crate::decide::placement::duration;
use crate::decide::placement::whole;
use crate::decide::plan_gang;
use crate::decide::shipped::Granted;
use crate::units::CustomerId;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// Requests that wait at most, over all lanes: about ten megabytes.
const WAITING_MAX: usize = 10_000;
/// Requests tried when the first can't be placed, so that one that waits for a certain upstream does
/// not hold up the others.
const TRIED_MAX: usize = 8;
/// A lane with longer waits than this is loaded: customers over their rate are turned away.
const SHORT_LOADED: Duration = Duration::from_millis(250);
const LONG_LOADED: Duration = Duration::from_secs(5);
/// Forecasts beyond this are as good as never.
const EXPECTED_MAX: Duration = Duration::from_secs(86_400);
/// The least and the longest time between two polls while requests wait: the headroom of placement
/// covers the least, and the longest lets what depends on time go on.
const WAKE_MIN: Duration = Duration::from_millis(2);
const WAKE_MAX: Duration = Duration::from_millis(100);

/// The shipped policy for model engines.
#[derive(Debug)]
pub struct EnginePolicy {
    intake: Intake,
    fleet: EngineFleet,
    estimator: Estimator,
    short: LaneQueue,
    long: LaneQueue,
    gangs: FairQueue,
    reservation: Option<Reservation>,
    granted: IndexMap<GrantId, Granted>,
    wake: Option<Instant>,
}

#[derive(Debug, Default)]
struct LaneQueue {
    queue: FairQueue,
    drain: DrainRate,
}

/// What became of an attempt to place the head of a lane.
enum Step {
    Went,
    Refused,
    Blocked,
}

impl EnginePolicy {
    /// A policy without upstreams.
    pub fn new(conf: PolicyConfig, speed: TokensPerSecond, seed: u64) -> Self {
        let fleet = EngineFleet::new(conf.objective, speed);
        Self {
            intake: Intake::new(conf, seed),
            fleet,
            estimator: Estimator::new(),
            short: LaneQueue::default(),
            long: LaneQueue::default(),
            gangs: FairQueue::new(),
            reservation: None,
            granted: IndexMap::new(),
            wake: None,
        }
    }

    fn waiting(&self) -> usize {
        self.short.queue.len() + self.long.queue.len() + self.gangs.len()
    }

    fn lane(&self, lane: Lane) -> &LaneQueue {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut LaneQueue {
        match lane {
            Lane::Short => &mut self.short,
            Lane::Long => &mut self.long,
        }
    }

    fn size_up(&self, work: Work, now: Instant) -> Waiting {
        let (account, share) = self.intake.account(&work.customer);
        let prompt_tokens = self.estimator.prompt_tokens(&work, &account);
        Waiting {
            prompt_tokens,
            output_tokens: self.estimator.output_tokens(&work),
            account,
            share: share.share,
            work,
            since: now,
        }
    }

    /// Whether to let a request in, and if not, why not and for how long.
    fn admit(&mut self, waiting: &Waiting, now: Instant) -> Result<(), (RefuseReason, Duration)> {
        if waiting.work.deadline <= now {
            return Err((RefuseReason::Expired, Duration::ZERO));
        }
        if self.fleet.live().next().is_none() {
            return Err((RefuseReason::NoUpstream, Duration::ZERO));
        }
        let lane = Lane::of(waiting.prompt_tokens);
        let drain = self.lane_wait(lane, self.lane(lane).queue.cost(), now);
        if self.waiting() >= WAITING_MAX {
            return Err((RefuseReason::QueueFull, drain));
        }
        let (account, share) = self.intake.account(&waiting.work.customer);
        let is_within = self.intake.take_rate(&account, &share, now);
        let loaded = if lane == Lane::Short {
            SHORT_LOADED
        } else {
            LONG_LOADED
        };
        if !is_within && drain > loaded {
            return Err((RefuseReason::CustomerLimit, drain));
        }
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        match self
            .forecast(waiting, lane, now)
            .judge(remaining, self.is_idle())
        {
            Admission::Admit => Ok(()),
            Admission::TooLate => Err((RefuseReason::Deadline, drain)),
        }
    }

    fn forecast(&self, waiting: &Waiting, lane: Lane, now: Instant) -> Forecast {
        let queue = &self.lane(lane).queue;
        let ahead = queue.cost_ahead(waiting.work.priority, &waiting.account, waiting.share);
        let speed = self.fleet.median(now).speed.max(1.0);
        let cached = self
            .fleet
            .open(now)
            .map(|u| u.prefix.cached_tokens(&waiting.work));
        let cached = cached.fold(0.0, f64::max);
        let prefill = (waiting.prompt_tokens.as_f64() - cached).max(0.0);
        Forecast {
            wait: self.lane_wait(lane, ahead, now),
            prefill: duration(prefill / speed / self.gang_size(waiting) as f64),
            output: self.estimator.output_time(waiting.output_tokens),
        }
    }

    /// How long this much cost takes to leave a lane's queue.
    fn lane_wait(&self, lane: Lane, cost: f64, now: Instant) -> Duration {
        let all = self.fleet.speed(now).max(1.0);
        let long = self.fleet.split.open() as f64 * self.fleet.median(now).speed;
        let nominal = match lane {
            Lane::Short => (all - long / 2.0).max(all / 4.0),
            Lane::Long => long.max(1.0),
        };
        duration(cost / self.lane(lane).drain.per_second(nominal, now))
    }

    fn is_idle(&self) -> bool {
        self.granted.is_empty()
    }

    fn gang_size(&self, waiting: &Waiting) -> usize {
        let largest = self.fleet.live().map(|u| u.seen.memory_tokens).max();
        let largest = largest.unwrap_or_default().0.max(1);
        let size = waiting.memory_tokens().0.div_ceil(largest);
        usize::try_from(size).unwrap_or(usize::MAX).max(1)
    }

    fn refuse(&mut self, request: RequestId, reason: RefuseReason, lane: Lane, now: Instant) {
        let drain = self.lane_wait(lane, self.lane(lane).queue.cost(), now);
        self.intake.refuse(request, reason, drain);
    }

    fn expire(&mut self, now: Instant) {
        let mut expired = self.short.queue.take_expired(now);
        expired.extend(self.long.queue.take_expired(now));
        expired.extend(self.gangs.take_expired(now));
        for waiting in expired {
            let lane = Lane::of(waiting.prompt_tokens);
            self.refuse(waiting.work.request, RefuseReason::Expired, lane, now);
        }
    }

    fn dispatch_lane(&mut self, lane: Lane, now: Instant) {
        loop {
            let heads = self.lane(lane).queue.heads(TRIED_MAX);
            let requests: Vec<RequestId> = heads.iter().map(|head| head.work.request).collect();
            let step = requests
                .iter()
                .map(|request| self.try_place(*request, lane, now));
            let is_over = step.into_iter().all(|step| matches!(step, Step::Blocked));
            if is_over {
                break;
            }
        }
        let is_waiting = !self.lane(lane).queue.is_empty();
        self.lane_mut(lane).drain.observe(0.0, is_waiting, now);
    }

    fn try_place(&mut self, request: RequestId, lane: Lane, now: Instant) -> Step {
        let Some(waiting) = self.lane(lane).queue.get(&request) else {
            return Step::Blocked;
        };
        let places = Places {
            upstreams: &self.fleet.upstreams,
            open_to_long: self.fleet.split.open(),
            median_speed: self.fleet.median(now).speed.max(1.0),
            now,
        };
        let Placement::Go {
            index,
            first_token,
            prefill_tokens,
            why,
        } = places.choose(waiting, lane)
        else {
            return Step::Blocked;
        };
        let forecast = Forecast {
            wait: Duration::ZERO,
            prefill: first_token,
            output: self.estimator.output_time(waiting.output_tokens),
        };
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        if forecast.judge(remaining, self.is_idle()) == Admission::TooLate {
            self.lane_mut(lane).queue.remove(&request);
            self.refuse(request, RefuseReason::Deadline, lane, now);
            return Step::Refused;
        }
        let upstream = self
            .fleet
            .upstreams
            .get_index(index)
            .map(|(id, _)| id.clone());
        let Some(waiting) = self.lane_mut(lane).queue.take(&request) else {
            return Step::Blocked;
        };
        self.lane_mut(lane).drain.observe(waiting.cost(), true, now);
        let upstreams = upstream.into_iter().collect();
        self.grant(&waiting, upstreams, prefill_tokens, why, now);
        Step::Went
    }

    fn grant(
        &mut self,
        waiting: &Waiting,
        upstreams: Vec<UpstreamId>,
        prefill_tokens: f64,
        why: &'static str,
        now: Instant,
    ) {
        let speed = self.fleet.median(now).speed.max(1.0);
        let expected = duration(prefill_tokens / speed)
            .saturating_add(self.estimator.output_time(waiting.output_tokens));
        let id = self.intake.grant(waiting, upstreams.clone(), why, now);
        let hinted_tokens = upstreams
            .first()
            .and_then(|id| self.fleet.upstreams.get(id))
            .map_or(Tokens::ZERO, |u| u.prefix.hinted_tokens(&waiting.work));
        let hold = hold_of(waiting, upstreams.len(), prefill_tokens, expected, now);
        let grant = LiveGrant {
            id,
            work: waiting.work.clone(),
            upstreams,
        };
        self.fleet.hold(&grant, &hold, now);
        let account = waiting.account.clone();
        self.granted.insert(
            id,
            Granted {
                grant,
                account,
                hinted_tokens,
            },
        );
    }

    fn dispatch_gangs(&mut self, now: Instant) {
        while let Some(head) = self.gangs.heads(1).first().copied() {
            let request = head.work.request;
            let reserved = self
                .reservation
                .clone()
                .filter(|kept| kept.request == request);
            let Some(reservation) = reserved else {
                if self.reserve(request, now) {
                    continue;
                }
                return;
            };
            match gang_has_room(&reservation, &self.fleet.upstreams, now) {
                None => self.unreserve(),
                Some(false) => return,
                Some(true) => self.grant_gang(request, &reservation, now),
            }
        }
        self.unreserve();
    }

    /// Reserves engines for the request. Returns whether to look again.
    fn reserve(&mut self, request: RequestId, now: Instant) -> bool {
        self.unreserve();
        let Some(waiting) = self.gangs.get(&request) else {
            return true;
        };
        let open_to_long = self.fleet.split.open();
        match plan_gang(waiting, &self.fleet.upstreams, open_to_long, now) {
            GangPlan::Reserve(reservation) => {
                for member in &reservation.members {
                    if let Some(upstream) = self.fleet.upstreams.get_mut(member) {
                        upstream.ledger.reserve(reservation.share);
                    }
                }
                self.reservation = Some(reservation);
                true
            }
            GangPlan::TooLarge => {
                self.gangs.remove(&request);
                self.refuse(request, RefuseReason::TooLarge, Lane::Long, now);
                true
            }
            GangPlan::Wait => false,
        }
    }

    fn unreserve(&mut self) {
        let members = self.reservation.take().map(|kept| kept.members);
        for member in members.unwrap_or_default() {
            if let Some(upstream) = self.fleet.upstreams.get_mut(&member) {
                upstream.ledger.reserve(Tokens::ZERO);
            }
        }
    }

    fn grant_gang(&mut self, request: RequestId, reservation: &Reservation, now: Instant) {
        self.unreserve();
        let Some(waiting) = self.gangs.take(&request) else {
            return;
        };
        let size = reservation.members.len() as f64;
        let prefill = waiting.prompt_tokens.as_f64() / size;
        let speed = self.fleet.median(now).speed.max(1.0);
        let forecast = Forecast {
            wait: Duration::ZERO,
            prefill: duration(prefill / speed),
            output: self.estimator.output_time(waiting.output_tokens),
        };
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        if forecast.judge(remaining, self.is_idle()) == Admission::TooLate {
            self.refuse(request, RefuseReason::Deadline, Lane::Long, now);
            return;
        }
        let members = reservation.members.clone();
        self.grant(&waiting, members, prefill, "gang", now);
    }

    fn long_waited(&self, now: Instant) -> Option<Duration> {
        let head = self.long.queue.heads(1).first().copied()?;
        Some(now.saturating_duration_since(head.since))
    }

    /// When to poll again: when an engine is expected to be ready, or a request's time runs out.
    fn plan_wake(&mut self, now: Instant) {
        if self.waiting() == 0 {
            self.wake = None;
            return;
        }
        let is_short_waiting = !self.short.queue.is_empty();
        let ready = self
            .fleet
            .open(now)
            .filter(|_| is_short_waiting)
            .map(|u| duration(u.ledger.lane_backlog(Lane::Short) / u.ledger.speed.get()))
            .min();
        let ready = ready.unwrap_or(WAKE_MAX).clamp(WAKE_MIN, WAKE_MAX);
        let expiry = [&self.short.queue, &self.long.queue, &self.gangs]
            .into_iter()
            .filter_map(FairQueue::next_expiry)
            .min();
        let ready_at = now + ready;
        self.wake = Some(expiry.map_or(ready_at, |expiry| expiry.min(ready_at)));
    }
}

impl Policy for EnginePolicy {
    fn set_upstreams(&mut self, upstreams: &[UpstreamSeen], now: Instant) {
        self.unreserve();
        self.fleet.set(upstreams, now);
    }

    fn set_config(&mut self, conf: &PolicyConfig, _now: Instant) {
        self.intake.conf = conf.clone();
        self.fleet.split.set_objective(conf.objective);
    }

    fn offer(&mut self, work: Work, now: Instant) {
        let waiting = self.size_up(work, now);
        let request = waiting.work.request;
        if let Err((reason, drain)) = self.admit(&waiting, now) {
            self.intake.refuse(request, reason, drain);
            return;
        }
        let lane = Lane::of(waiting.prompt_tokens);
        let tokens = waiting.prompt_tokens.as_f64();
        self.fleet
            .split
            .on_admitted(tokens, lane == Lane::Long, now);
        if self.gang_size(&waiting) > 1 {
            self.gangs.push(waiting);
        } else {
            self.lane_mut(lane).queue.push(waiting);
        }
    }

    fn withdraw(&mut self, request: RequestId, _now: Instant) {
        self.short.queue.remove(&request);
        self.long.queue.remove(&request);
        self.gangs.remove(&request);
    }

    fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let long_waited = self.long_waited(now);
        self.fleet.advance(long_waited, now, &mut self.intake.rng);
        self.expire(now);
        self.dispatch_gangs(now);
        self.dispatch_lane(Lane::Short, now);
        self.dispatch_lane(Lane::Long, now);
        self.plan_wake(now);
        self.intake.take_due()
    }

    fn next_wake(&self) -> Option<Instant> {
        self.wake
    }

    fn finish(&mut self, grant: GrantId, done: Done, now: Instant) {
        let Some(granted) = self.granted.swap_remove(&grant) else {
            return;
        };
        let Granted {
            grant,
            account,
            hinted_tokens,
        } = granted;
        self.estimator.observe(&grant.work, &account, &done);
        let rng = &mut self.intake.rng;
        self.fleet.finish(&grant, hinted_tokens, &done, now, rng);
    }

    fn adopt(&mut self, grant: LiveGrant, now: Instant) {
        if self.granted.contains_key(&grant.id) {
            return;
        }
        let waiting = self.size_up(grant.work.clone(), now);
        // How far it has come is not known. A short prefill is over by now; a long one may not be,
        // and the engine's next reports tell.
        let prefill = match Lane::of(waiting.prompt_tokens) {
            Lane::Short => 0.0,
            Lane::Long => waiting.prompt_tokens.as_f64() / grant.upstreams.len().max(1) as f64,
        };
        let expected = duration(prefill / self.fleet.median(now).speed.max(1.0))
            .saturating_add(self.estimator.output_time(waiting.output_tokens));
        let hold = hold_of(&waiting, grant.upstreams.len(), prefill, expected, now);
        self.fleet.hold(&grant, &hold, now);
        let account: CustomerId = waiting.account;
        self.granted.insert(
            grant.id,
            Granted {
                grant,
                account,
                hinted_tokens: Tokens::ZERO,
            },
        );
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.granted
            .values()
            .map(|granted| granted.grant.clone())
            .collect()
    }

    fn report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        if let Some(upstream) = self.fleet.upstreams.get_mut(upstream) {
            upstream.ledger.correct(report, now);
        }
    }

    fn cache_events(&mut self, upstream: &UpstreamId, events: &[CacheEvent], _now: Instant) {
        if let Some(upstream) = self.fleet.upstreams.get_mut(upstream) {
            upstream.prefix.on_events(events);
        }
    }

    fn load(&self, now: Instant) -> PoolLoad {
        let free = self
            .fleet
            .open(now)
            .map(|u| u.ledger.free_tokens(u.seen.memory_tokens));
        PoolLoad {
            waiting: self.waiting() as u64,
            running: self.granted.len() as u64,
            short_wait: self.lane_wait(Lane::Short, self.short.queue.cost(), now),
            free_tokens: free.sum(),
            upstreams: u32::try_from(self.fleet.open(now).count()).unwrap_or(u32::MAX),
        }
    }
}

fn hold_of(
    waiting: &Waiting,
    members: usize,
    prefill: f64,
    expected: Duration,
    now: Instant,
) -> Hold {
    Hold {
        memory_tokens: gang_share(waiting.memory_tokens(), members),
        prefill_tokens: whole(prefill),
        prefill_left: prefill,
        rank: engine_priority(&waiting.work),
        lane: Lane::of(whole(prefill)),
        is_suspect: waiting.is_suspect(),
        since: now,
        expected: expected.min(EXPECTED_MAX),
        backlog_before: 0.0,
        granted_mark: 0.0,
    }
}
