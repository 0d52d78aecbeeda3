//! When the call of a silent upstream is sent to another one.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::decide::ResendDecision;
use crate::gateway::DecisionEvent;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::units::whole_millis;

/// The time beyond twice its forecast that a call which is sent again needs to reach its caller.
const RESUME_MARGIN: Duration = Duration::from_millis(200);

/// How often it is decided whether the call of a silent upstream is sent to another one.
pub(crate) const RESEND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl CallDispatcher {
    /// Waits until the call, whose upstream is silent, is to be sent to another one.
    pub(super) async fn wait_for_resend(&mut self) {
        while !self.try_resend() {
            sleep(RESEND_CHECK_INTERVAL).await;
        }
    }

    /// Decides whether the call, whose upstream is silent, is sent to another one now. Logs the first
    /// time that it is not.
    pub(crate) fn try_resend(&mut self) -> bool {
        let now = self.gateway.clock.now();
        let is_urgent = self.is_urgent(now);
        let listed = self.listed_count();
        let mut silences = self.gateway.silences();
        let decision = silences.try_resend(&self.call.service, listed, is_urgent, now);
        drop(silences);
        self.able_only.set(decision == ResendDecision::ResendToAble);
        let ResendDecision::Hold { silent, able } = decision else {
            return true;
        };
        if !std::mem::replace(&mut self.is_hold_logged, true) {
            self.gateway.log.record(DecisionEvent::ResendHeld {
                request: self.call.head.request.clone(),
                service: self.call.service.to_string(),
                silent_upstreams: silent,
                able_upstreams: able,
                elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived_at)),
            });
        }
        false
    }

    /// Whether the caller will give up before a call that is sent again later reaches it. The callers
    /// of plain services wait for an answer that takes a fraction of their objective.
    fn is_urgent(&self, now: Instant) -> bool {
        if !self.call.route.kind.is_stream() {
            return true;
        }
        let resumed_at = now + self.forecast * 2 + RESUME_MARGIN;
        self.call.caller_leaves_at(self.forwarded_at) <= resumed_at
    }
}
