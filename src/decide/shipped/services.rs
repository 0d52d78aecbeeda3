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
use crate::decide::EjectionAction;
use crate::decide::FairQueue;
use crate::decide::Forecast;
use crate::decide::Intake;
use crate::decide::LiveGrant;
use crate::decide::Policy;
use crate::decide::PolicyConfig;
use crate::decide::PoolLoad;
use crate::decide::QueueEntry;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::ServiceUpstream;
use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::decide::WarmUp;
use crate::decide::Work;
use crate::decide::shipped::GrantRecord;
use crate::units::GrantId;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::units::seconds;
use crate::upstream::CacheEvent;
use crate::upstream::LoadReport;

/// The largest number of queued calls. Further calls are refused.
const QUEUED_MAX: usize = 10_000;
/// Drain time of the queue beyond which calls of customers over their rate are refused.
const LOADED_DRAIN: Duration = Duration::from_millis(250);
/// Number of calls at the head of the queue that are tried in one search for a call to dispatch.
const CANDIDATES_MAX: usize = 4;
/// The largest fraction of the instances that may be ejected at the same time.
const EJECTED_FRACTION_MAX: f64 = 0.5;
/// The longest time between two polls while calls wait.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// The shipped policy for a pool of a plain service, whose upstreams are equivalent instances.
///
/// Calls wait in one queue. Each is dispatched to the instance with the least cost that has room.
#[derive(Debug)]
pub struct ServicePolicy {
    intake: Intake,
    upstreams: IndexMap<UpstreamId, ServiceUpstream>,
    queue: FairQueue,
    drain: DrainRate,
    grants: IndexMap<GrantId, GrantRecord>,
    wake: Option<Instant>,
}

impl ServicePolicy {
    /// Creates a policy without upstreams.
    pub fn new(conf: PolicyConfig, seed: u64) -> Self {
        Self {
            intake: Intake::new(conf, seed),
            upstreams: IndexMap::new(),
            queue: FairQueue::new(),
            drain: DrainRate::default(),
            grants: IndexMap::new(),
            wake: None,
        }
    }

    /// Decides whether to queue a call, and charges the customer's rate. An error holds the reason
    /// of the refusal and the time that the queue takes to drain.
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
        let drain = self.wait_time(self.queue.cost(), now);
        if self.queue.len() >= QUEUED_MAX {
            return Err((RefuseReason::QueueFull, drain));
        }
        let (account, share) = self.intake.account(&waiting.work.customer);
        let is_within_rate = self.intake.charge_rate(&account, &share, now);
        if !is_within_rate && drain > LOADED_DRAIN {
            return Err((RefuseReason::CustomerLimit, drain));
        }
        let priority = waiting.work.priority;
        let ahead = self
            .queue
            .cost_ahead(priority, &waiting.account, waiting.share);
        let forecast = Forecast {
            wait: self.wait_time(ahead, now),
            prefill: Duration::ZERO,
            output: self.expected_latency(),
        };
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        match forecast.admission(remaining, self.grants.is_empty()) {
            Admission::Admit => Ok(()),
            Admission::TooLate => Err((RefuseReason::Deadline, drain)),
        }
    }

    /// The expected latency of a call: the lowest expected latency of all instances, or 0 while no
    /// call has been observed.
    fn expected_latency(&self) -> Duration {
        let latencies = self.upstreams.values().filter_map(|u| u.limit.latency());
        latencies.min().unwrap_or_default()
    }

    /// The time until queued calls of this total cost have been dispatched, at the measured rate
    /// or, while there is none, at the rate that follows from the limits and the latency.
    fn wait_time(&self, cost: f64, now: Instant) -> Duration {
        if cost <= 0.0 {
            return Duration::ZERO;
        }
        let calls: u32 = self.upstreams.values().map(|u| u.limit.get()).sum();
        let latency = self.expected_latency().as_secs_f64().max(0.001);
        let nominal = f64::from(calls.max(1)) / latency;
        seconds(cost / self.drain.per_second(nominal, now))
    }

    /// Chooses the instance for a call and the reason to log. An instance that is due for a probe
    /// comes first, unless the call may have caused a failure. Instances on which the call failed
    /// are used only if no other instance is open. `None` if no instance has room.
    fn choose_instance(
        &self,
        waiting: &QueuedRequest,
        now: Instant,
    ) -> Option<(UpstreamId, &'static str)> {
        let is_suspect = waiting.is_suspect();
        let mut probes = self.upstreams.values().filter(|_| !is_suspect);
        if let Some(probe) = probes.find(|u| u.access(now) == Access::Probe) {
            return Some((probe.info.id.clone(), "probe"));
        }
        let avoid = &waiting.work.avoid;
        let open = || {
            self.upstreams
                .values()
                .filter(|u| u.access(now) == Access::Full)
        };
        let can_avoid = open().any(|u| !avoid.contains(&u.info.id));
        let may_take = |u: &&ServiceUpstream| !can_avoid || !avoid.contains(&u.info.id);
        open()
            .filter(may_take)
            .filter(|upstream| upstream.has_room(now))
            .min_by(|a, b| a.cost().total_cmp(&b.cost()))
            .map(|upstream| (upstream.info.id.clone(), "least cost"))
    }

    /// Dispatches queued calls until none of those at the head can be placed.
    fn dispatch(&mut self, now: Instant) {
        while let Some((request, upstream, why)) = self.first_placeable(now) {
            let Some(waiting) = self.queue.take(&request) else {
                break;
            };
            self.drain.observe(waiting.cost(), true, now);
            self.grant(&waiting, upstream, why, now);
        }
        self.drain.observe(0.0, !self.queue.is_empty(), now);
    }

    /// The first of the next [`CANDIDATES_MAX`] calls in the queue that an instance has room for,
    /// with that instance and the reason to log. `None` if none of these calls can be placed. The
    /// call stays in the queue.
    fn first_placeable(&self, now: Instant) -> Option<(RequestId, UpstreamId, &'static str)> {
        self.queue
            .heads(CANDIDATES_MAX)
            .into_iter()
            .find_map(|waiting| {
                let (upstream, why) = self.choose_instance(waiting, now)?;
                Some((waiting.work.request, upstream, why))
            })
    }

    /// Grants a call that was taken out of the queue, and adds the decision.
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
        self.record_grant(grant, waiting, now);
    }

    /// Records a grant at its instances and among the live grants.
    fn record_grant(&mut self, grant: LiveGrant, waiting: &QueuedRequest, now: Instant) {
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_grant(now);
            }
        }
        self.grants.insert(
            grant.id,
            GrantRecord {
                grant,
                account: waiting.account.clone(),
                hinted_tokens: Tokens::ZERO,
            },
        );
    }

    /// The call as it is queued: with its account, and with the same cost as all other calls.
    fn queued_request(&self, work: Work, now: Instant) -> QueuedRequest {
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

    /// Ejects or reinstates an instance after an attempt there has ended. No instance is ejected if
    /// more than [`EJECTED_FRACTION_MAX`] of the instances would be. A reinstated instance starts
    /// its warm-up anew.
    fn update_ejection(&mut self, id: &UpstreamId, outcome: AttemptOutcome, now: Instant) {
        let live = self.upstreams.values().filter(|u| u.is_live()).count();
        let is_other_ejected = |u: &&ServiceUpstream| u.ejection.is_ejected() && u.info.id != *id;
        let other_ejected = self.upstreams.values().filter(is_other_ejected).count();
        let may_eject = (other_ejected + 1) as f64 <= live as f64 * EJECTED_FRACTION_MAX;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        match upstream.ejection.on_end(outcome) {
            EjectionAction::Reinstate => upstream.warm_up = WarmUp::cold(now),
            EjectionAction::Eject if may_eject => {
                upstream.ejection.eject(now, &mut self.intake.rng);
            }
            EjectionAction::Eject | EjectionAction::NoChange => {}
        }
    }
}

impl Policy for ServicePolicy {
    fn set_upstreams(&mut self, upstreams: &[UpstreamInfo], now: Instant) {
        let is_first = self.upstreams.is_empty();
        for upstream in self.upstreams.values_mut() {
            upstream.info.health = UpstreamHealth::Leaving;
        }
        for listed in upstreams {
            let warm_up = if is_first {
                WarmUp::warm(now)
            } else {
                WarmUp::cold(now)
            };
            let new = || ServiceUpstream::new(listed.clone(), warm_up);
            let upstream = self.upstreams.entry(listed.id.clone()).or_insert_with(new);
            upstream.info = listed.clone();
        }
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running > 0);
    }

    fn set_config(&mut self, conf: &PolicyConfig, _now: Instant) {
        self.intake.conf = conf.clone();
    }

    /// Queues a call that is admitted. A call that is not admitted is refused; the next `poll`
    /// returns the refusal.
    fn offer(&mut self, work: Work, now: Instant) {
        let waiting = self.queued_request(work, now);
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
            let drain = self.wait_time(self.queue.cost(), now);
            self.intake
                .refuse(waiting.work.request, RefuseReason::Expired, drain);
        }
        self.dispatch(now);
        let next_poll = now + WAKE_INTERVAL;
        let expiry = self.queue.next_expiry();
        self.wake = expiry.map(|expiry| expiry.min(next_poll));
        self.intake.take_decisions()
    }

    fn next_wake(&self) -> Option<Instant> {
        self.wake
    }

    /// Records the end of an attempt. Ejects or reinstates its instance if necessary, and removes
    /// leaving instances that have no calls left. Dispatches nothing; the next `poll` does.
    fn finish(&mut self, grant: GrantId, done: AttemptSummary, now: Instant) {
        let Some(record) = self.grants.swap_remove(&grant) else {
            return;
        };
        for id in &record.grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_done(&done, now);
            }
            self.update_ejection(id, done.ended, now);
        }
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running > 0);
    }

    fn adopt(&mut self, grant: LiveGrant, now: Instant) {
        if self.grants.contains_key(&grant.id) {
            return;
        }
        let waiting = self.queued_request(grant.work.clone(), now);
        self.record_grant(grant, &waiting, now);
    }

    fn live_grants(&self) -> Vec<LiveGrant> {
        self.grants
            .values()
            .map(|record| record.grant.clone())
            .collect()
    }

    fn on_load_report(&mut self, _upstream: &UpstreamId, _report: &LoadReport, _now: Instant) {}

    fn on_cache_events(&mut self, _upstream: &UpstreamId, _events: &[CacheEvent], _now: Instant) {}

    fn load(&self, now: Instant) -> PoolLoad {
        let open = self
            .upstreams
            .values()
            .filter(|u| u.access(now) == Access::Full);
        PoolLoad {
            waiting: self.queue.len() as u64,
            running: self.grants.len() as u64,
            short_wait: self.wait_time(self.queue.cost(), now),
            free_tokens: Tokens::ZERO,
            upstreams: u32::try_from(open.count()).unwrap_or(u32::MAX),
        }
    }
}
