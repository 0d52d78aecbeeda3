//! Dispatch of queued requests to the engines of a pool.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Admission;
use crate::decide::Forecast;
use crate::decide::GrantHold;
use crate::decide::Lane;
use crate::decide::LiveGrant;
use crate::decide::Placement;
use crate::decide::PlacementView;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::engine_priority;
use crate::decide::gang_share;
use crate::decide::placement::tokens_from_f64;
use crate::decide::shipped::EnginePolicy;
use crate::decide::shipped::GangStep;
use crate::decide::shipped::GrantRecord;
use crate::decide::shipped::engines::assignment::Assignment;
use crate::decide::shipped::engines::place_outcome::PlaceOutcome;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;
use crate::units::seconds;

/// Number of requests at the head of a queue that are tried in one round, so that a request that
/// waits for a certain upstream does not block the others.
const CANDIDATES_MAX: usize = 8;
/// Upper bound of the expected duration of a grant. A longer forecast counts as never.
const EXPECTED_TIME_MAX: Duration = Duration::from_secs(86_400);

impl EnginePolicy {
    /// Places the requests at the head of a lane's queue until no upstream has room for any of them.
    pub(super) fn dispatch_lane(&mut self, lane: Lane, now: Instant) {
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
    pub(super) fn dispatch_forecast(
        &self,
        waiting: &QueuedRequest,
        first_token: Duration,
    ) -> Forecast {
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
    pub(super) fn record_grant(
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
    pub(super) fn dispatch_gangs(&mut self, now: Instant) {
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
        let first_token = seconds(prefill_tokens / self.fleet.median_speed());
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
}
