//! Calls that crash upstreams, as the dispatcher of a call sees them.

use std::time::Duration;
use std::time::Instant;

use crate::decide::CrashCheck;
use crate::decide::QuarantinedParts;
use crate::decide::RefuseReason;
use crate::decide::RequestPart;
use crate::gateway::CallRefusal;
use crate::gateway::DecisionEvent;
use crate::gateway::call_dispatcher::CallDispatcher;
use crate::gateway::probe_claims::CLAIM_INTERVAL;
use crate::gateway::prompt_parts::part_names;

impl CallDispatcher {
    /// The refusal of a call that crashes upstreams, or whose prompt has parts that do; none if
    /// neither is known, or if the call may be the probe that shows whether it still does.
    pub(crate) fn crash_refusal(&mut self, now: Instant) -> Option<CallRefusal> {
        if self.is_probe {
            return None;
        }
        match self.gateway.check_crashes(&self.call, now) {
            CrashCheck::Admit | CrashCheck::Probe(_) => None,
            CrashCheck::AdmitOnce => {
                // The loss may be one of this call.
                self.may_run_once_only |= self.runs == 0;
                None
            }
            CrashCheck::Refuse(quarantined) => {
                Some(refusal(&quarantined, quarantined.time_left(now)))
            }
        }
    }

    /// The same immediately before the call is sent, which may make it the probe.
    pub(super) async fn final_crash_refusal(&mut self) -> Option<CallRefusal> {
        let now = self.gateway.clock.now();
        let refusal_before = self.crash_refusal(now);
        if self.is_probe || refusal_before.is_some() {
            return refusal_before;
        }
        let CrashCheck::Probe(quarantined) = self.gateway.check_crashes(&self.call, now) else {
            return None;
        };
        self.is_probe = self.runs == 0 && self.gateway.claim_probe(&quarantined.parts).await;
        self.gateway.log.record(DecisionEvent::QuarantineProbe {
            request: self.call.head.request.clone(),
            parts: part_names(&quarantined.parts),
            crashes: quarantined.crashes,
            is_found: quarantined.is_found,
            is_claimed: self.is_probe,
        });
        if self.is_probe {
            return None;
        }
        // Another call may be the probe, which prolongs the refusal.
        let now = self.gateway.clock.now();
        let refused = self.crash_refusal(now);
        Some(refused.unwrap_or_else(|| refusal(&quarantined, CLAIM_INTERVAL)))
    }
}

fn refusal(quarantined: &QuarantinedParts, retry_after: Duration) -> CallRefusal {
    let is_request = quarantined.parts.iter().any(RequestPart::is_whole);
    CallRefusal::Overload {
        reason: if is_request {
            RefuseReason::Poison
        } else {
            RefuseReason::PoisonPart
        },
        retry_after,
    }
}
