//! The lines that a call leaves in the decision log while it is dispatched.

use std::time::Duration;
use std::time::Instant;

use crate::decide::RefuseReason;
use crate::gateway::DecisionEvent;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::placement::SendPlan;
use crate::gateway::placement::excluded_upstreams;
use crate::gateway::placement::survey_candidates;
use crate::gateway::prompt_parts::part_names;
use crate::units::whole_millis;

/// Waiting time after which a prompt is logged with the engines that it waits for.
const LONG_WAIT: Duration = Duration::from_secs(1);

impl CallDispatcher {
    /// Logs, once for each call, the engines that a prompt waits for after it has waited for
    /// [`LONG_WAIT`].
    pub(super) fn log_long_wait(&mut self, now: Instant) {
        let waited = now.saturating_duration_since(self.call.arrived_at);
        if self.is_wait_logged || waited < LONG_WAIT {
            return;
        }
        self.is_wait_logged = true;
        let Some((near, all)) = survey_candidates(&self.gateway, &self.call, &self.sends(), now)
        else {
            return;
        };
        self.gateway.log.record(DecisionEvent::Waiting {
            request: self.call.head.request.clone(),
            prompt_tokens: self.call.head.prompt.0,
            elapsed_ms: whole_millis(waited),
            objective_left_ms: whole_millis(self.call.objective_left(now)),
            time_left_ms: whole_millis(self.call.time_left(now)),
            choices: self.choices,
            near: Some(Box::new(near)),
            all: Some(Box::new(all)),
            customer: self.call.customer.as_ref().map(ToString::to_string),
            priority: self.call.listed_priority,
            share_ratio: self.call.customer.as_ref().map(|_| self.standing.ratio),
        });
    }

    pub(super) fn log_not_resent(&self, reason: &'static str) {
        let now = self.gateway.clock.now();
        self.gateway.log.record(DecisionEvent::NotResent {
            request: self.call.head.request.clone(),
            reason: reason.into(),
            runs: self.runs,
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived_at)),
            time_left_ms: whole_millis(self.call.time_left(now)),
            upstreams: self.listed_count(),
        });
    }

    /// The number of listed upstreams of the service.
    pub(super) fn listed_count(&self) -> usize {
        let by_service = self.gateway.platform_view.upstreams();
        let listed = by_service.and_then(|all| all.get(&self.call.service).map(Vec::len));
        listed.unwrap_or(0)
    }

    pub(super) fn log_refusal(&self, reason: RefuseReason, retry_after: Duration) {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let (near, all) = survey_candidates(gateway, &self.call, &self.sends(), now).unzip();
        let quarantined = match reason {
            RefuseReason::Poison | RefuseReason::PoisonPart => {
                gateway.find_quarantined(&self.call, now)
            }
            _ => None,
        };
        gateway.log.record(DecisionEvent::Refused {
            request: self.call.head.request.clone(),
            reason: reason.name().into(),
            prompt_tokens: self.call.head.prompt.0,
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived_at)),
            objective_left_ms: whole_millis(self.call.objective_left(now)),
            time_left_ms: whole_millis(self.call.time_left(now)),
            choices: self.choices,
            near: near.map(Box::new),
            all: all.map(Box::new),
            excluded: excluded_upstreams(gateway, &self.call, now),
            quarantined_parts: quarantined
                .as_ref()
                .map_or_else(Vec::new, |known| part_names(&known.parts)),
            crashes: quarantined.map_or(0, |known| known.crashes),
            customer: self.call.customer.as_ref().map(ToString::to_string),
            priority: self.call.listed_priority,
            share_ratio: self.call.customer.as_ref().map(|_| self.standing.ratio),
            retry_after_ms: whole_millis(retry_after),
            upstreams: self.listed_count(),
            hosts_heard: gateway.ledger().live_peer_count(now),
            manifest_age_ms: gateway.manifest_age().map_or(0, whole_millis),
        });
    }

    pub(super) fn log_send(&self, placement: &SendPlan, now: Instant) {
        let earlier_sends = self.runs + self.not_run;
        self.gateway.metrics.record_send(earlier_sends > 0);
        self.gateway.log.record(DecisionEvent::Sent {
            request: self.call.head.request.clone(),
            upstream: placement.upstream.id.to_string(),
            helpers: placement.helper_ids().map(ToString::to_string).collect(),
            reserves: placement.reservations.len(),
            earlier_sends,
            forecast_ms: whole_millis(placement.forecast),
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived_at)),
            prompt_tokens: self.call.head.prompt.0,
            manifest_age_ms: self.gateway.manifest_age().map_or(0, whole_millis),
            limit: placement.limit,
            excluded: placement.excluded,
        });
    }
}
