//! The shipped policy for a pool of a plain service.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Access;
use crate::decide::Admission;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::Decision;
use crate::decide::DrainRate;
use crate::decide::EjectionStep;
use crate::decide::FairQueue;
use crate::decide::Forecast;
use crate::decide::Intake;
use crate::decide::LiveGrant;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::ServiceUpstream;
use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::decide::WarmUp;
use crate::decide::Work;
use crate::decide::placement::duration_from_secs;
use crate::decide::shipped::Granted;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// Calls that wait at most.
const WAITING_MAX: usize = 10_000;
/// With longer waits customers over their rate are turned away.
const LOADED: Duration = Duration::from_millis(250);
/// Calls tried when the first can't be placed.
const TRIED_MAX: usize = 4;
/// At most this part of the instances is out at the same time.
const OUT_PART_MAX: f64 = 0.5;
/// How often calls that wait are looked at without any other cause.
const WAKE: Duration = Duration::from_millis(50);

/// The shipped policy for a plain service.
#[derive(Debug)]
pub struct ServicePolicy {
    intake: Intake,
    upstreams: IndexMap<UpstreamId, ServiceUpstream>,
    queue: FairQueue,
    drain: DrainRate,
    granted: IndexMap<GrantId, Granted>,
    wake: Option<Instant>,
}

impl ServicePolicy {
    /// A policy without upstreams.
    pub fn new(conf: PolicyConfig, seed: u64) -> Self {
        Self {
            intake: Intake::new(conf, seed),
            upstreams: IndexMap::new(),
            queue: FairQueue::new(),
            drain: DrainRate::default(),
            granted: IndexMap::new(),
            wake: None,
        }
    }

    fn admit(
        &mut self,
        waiting: &QueuedRequest,
        now: Instant,
    ) -> Result<(), (RefuseReason, Duration)> {
        if waiting.work.deadline <= now {
            return Err((RefuseReason::Expired, Duration::ZERO));
        }
        if !self.upstreams.values().any(ServiceUpstream::is_live) {
            return Err((RefuseReason::NoUpstream, Duration::ZERO));
        }
        let drain = self.wait_for(self.queue.cost(), now);
        if self.queue.len() >= WAITING_MAX {
            return Err((RefuseReason::QueueFull, drain));
        }
        let (account, share) = self.intake.account(&waiting.work.customer);
        let is_within = self.intake.charge_rate(&account, &share, now);
        if !is_within && drain > LOADED {
            return Err((RefuseReason::CustomerLimit, drain));
        }
        let rank = waiting.work.priority;
        let ahead = self.queue.cost_ahead(rank, &waiting.account, waiting.share);
        let forecast = Forecast {
            wait: self.wait_for(ahead, now),
            prefill: Duration::ZERO,
            output: self.latency(),
        };
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        match forecast.admission(remaining, self.granted.is_empty()) {
            Admission::Admit => Ok(()),
            Admission::TooLate => Err((RefuseReason::Deadline, drain)),
        }
    }

    /// The latency to be expected: the best that any instance has shown.
    fn latency(&self) -> Duration {
        let seen = self.upstreams.values().filter_map(|u| u.limit.latency());
        seen.min().unwrap_or_default()
    }

    fn wait_for(&self, cost: f64, now: Instant) -> Duration {
        if cost <= 0.0 {
            return Duration::ZERO;
        }
        let calls: u32 = self.upstreams.values().map(|u| u.limit.get()).sum();
        let latency = self.latency().as_secs_f64().max(0.001);
        let nominal = f64::from(calls.max(1)) / latency;
        duration_from_secs(cost / self.drain.per_second(nominal, now))
    }

    /// The upstream for a call; none if all are full.
    fn choose(&self, waiting: &QueuedRequest, now: Instant) -> Option<(UpstreamId, &'static str)> {
        let is_suspect = waiting.is_suspect();
        let mut probes = self.upstreams.values().filter(|_| !is_suspect);
        if let Some(probe) = probes.find(|u| u.access(now) == Access::Probe) {
            return Some((probe.info.id.clone(), "probe"));
        }
        let avoid = &waiting.work.avoid;
        let open = || {
            self.upstreams
                .values()
                .filter(|u| u.access(now) == Access::Open)
        };
        let can_avoid = open().any(|u| !avoid.contains(&u.info.id));
        let may_take = |u: &&ServiceUpstream| !can_avoid || !avoid.contains(&u.info.id);
        open()
            .filter(may_take)
            .filter(|upstream| upstream.has_room(now))
            .min_by(|a, b| a.cost().total_cmp(&b.cost()))
            .map(|upstream| (upstream.info.id.clone(), "least cost"))
    }

    fn dispatch(&mut self, now: Instant) {
        while let Some((request, upstream, why)) = self.next_call(now) {
            let Some(waiting) = self.queue.take(&request) else {
                break;
            };
            self.drain.observe(waiting.cost(), true, now);
            self.grant(&waiting, upstream, why, now);
        }
        self.drain.observe(0.0, !self.queue.is_empty(), now);
    }

    fn next_call(&self, now: Instant) -> Option<(RequestId, UpstreamId, &'static str)> {
        self.queue.heads(TRIED_MAX).into_iter().find_map(|waiting| {
            let (upstream, why) = self.choose(waiting, now)?;
            Some((waiting.work.request, upstream, why))
        })
    }

    fn grant(
        &mut self,
        waiting: &QueuedRequest,
        upstream: UpstreamId,
        why: &'static str,
        now: Instant,
    ) {
        let id = self.intake.grant(waiting, vec![upstream.clone()], why, now);
        let grant = LiveGrant {
            id,
            work: waiting.work.clone(),
            upstreams: vec![upstream],
        };
        self.enter(grant, waiting, now);
    }

    fn enter(&mut self, grant: LiveGrant, waiting: &QueuedRequest, now: Instant) {
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_grant(now);
            }
        }
        self.granted.insert(
            grant.id,
            Granted {
                grant,
                account: waiting.account.clone(),
                hinted_tokens: Tokens::ZERO,
            },
        );
    }

    fn size_up(&self, work: Work, now: Instant) -> QueuedRequest {
        let (account, share) = self.intake.account(&work.customer);
        QueuedRequest {
            work,
            account,
            share: share.share,
            prompt_tokens: Tokens(1),
            output_tokens: Tokens::ZERO,
            since: now,
        }
    }

    fn judge(&mut self, id: &UpstreamId, ended: AttemptOutcome, now: Instant) {
        let live = self.upstreams.values().filter(|u| u.is_live()).count();
        let is_other_out = |u: &&ServiceUpstream| u.ejection.is_out() && u.info.id != *id;
        let out = self.upstreams.values().filter(is_other_out).count();
        let may_eject = (out + 1) as f64 <= live as f64 * OUT_PART_MAX;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        match upstream.ejection.on_end(ended) {
            EjectionStep::Return => upstream.warm_up = WarmUp::cold(now),
            EjectionStep::Eject if may_eject => {
                upstream.ejection.eject(now, &mut self.intake.rng);
            }
            EjectionStep::Eject | EjectionStep::Stay => {}
        }
    }
}

impl Policy for ServicePolicy {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant) {
        let is_first = self.upstreams.is_empty();
        for upstream in self.upstreams.values_mut() {
            upstream.info.health = UpstreamHealth::Leaving;
        }
        for seen in upstreams {
            let warm_up = if is_first {
                WarmUp::warm(now)
            } else {
                WarmUp::cold(now)
            };
            let new = || ServiceUpstream::new(seen.clone(), warm_up);
            let upstream = self.upstreams.entry(seen.id.clone()).or_insert_with(new);
            upstream.info = seen.clone();
        }
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running > 0);
    }

    fn set_config(&mut self, conf: &PolicyConfig, _now: Instant) {
        self.intake.conf = conf.clone();
    }

    fn offer(&mut self, work: Work, now: Instant) {
        let waiting = self.size_up(work, now);
        match self.admit(&waiting, now) {
            Ok(()) => self.queue.push(waiting),
            Err((reason, drain)) => self.intake.refuse(waiting.work.request, reason, drain),
        }
    }

    fn withdraw(&mut self, request: RequestId, _now: Instant) {
        self.queue.remove(&request);
    }

    fn poll(&mut self, now: Instant) -> Vec<Decision> {
        for waiting in self.queue.take_expired(now) {
            let drain = self.wait_for(self.queue.cost(), now);
            self.intake
                .refuse(waiting.work.request, RefuseReason::Expired, drain);
        }
        self.dispatch(now);
        let wake_at = now + WAKE;
        let expiry = self.queue.next_expiry();
        self.wake = expiry.map(|expiry| expiry.min(wake_at));
        self.intake.take_decisions()
    }

    fn next_wake(&self) -> Option<Instant> {
        self.wake
    }

    fn finish(&mut self, grant: GrantId, done: AttemptSummary, now: Instant) {
        let Some(granted) = self.granted.swap_remove(&grant) else {
            return;
        };
        for id in &granted.grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_done(&done, now);
            }
            self.judge(id, done.ended, now);
        }
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running > 0);
    }

    fn adopt(&mut self, grant: LiveGrant, now: Instant) {
        if self.granted.contains_key(&grant.id) {
            return;
        }
        let waiting = self.size_up(grant.work.clone(), now);
        self.enter(grant, &waiting, now);
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.granted
            .values()
            .map(|granted| granted.grant.clone())
            .collect()
    }

    fn on_load_report(&mut self, _upstream: &UpstreamId, _report: &LoadReport, _now: Instant) {}

    fn on_cache_events(&mut self, _upstream: &UpstreamId, _events: &[CacheEvent], _now: Instant) {}

    fn load(&self, now: Instant) -> PoolLoad {
        let open = self
            .upstreams
            .values()
            .filter(|u| u.access(now) == Access::Open);
        PoolLoad {
            waiting: self.queue.len() as u64,
            running: self.granted.len() as u64,
            short_wait: self.wait_for(self.queue.cost(), now),
            free_tokens: Tokens::ZERO,
            upstreams: u32::try_from(open.count()).unwrap_or(u32::MAX),
        }
    }
}
