//! Calls that crash upstreams, as the dispatcher of a call sees them.

use std::time::Instant;

use hyper::StatusCode;

use crate::decide::RefuseReason;
use crate::decide::RequestPart;
use crate::gateway::CallRefusal;
use crate::gateway::call_dispatcher::CallDispatcher;

impl CallDispatcher {
    /// The refusal of a call that crashes upstreams, or whose prompt has parts that do; none if
    /// neither is known.
    pub(crate) fn crash_refusal(&self, now: Instant) -> Option<CallRefusal> {
        let quarantined = self.gateway.find_quarantined(&self.call, now)?;
        let is_request = quarantined.parts.iter().any(RequestPart::is_whole);
        Some(CallRefusal::Overload {
            reason: if is_request {
                RefuseReason::Poison
            } else {
                RefuseReason::PoisonPart
            },
            retry_after: quarantined.time_left(now),
        })
    }

    /// Records that an upstream has answered the call to its end, which clears the call of crashes. A
    /// success also clears the parts of its prompt: for a failure the upstream need not have begun to
    /// write an answer on them.
    pub(crate) fn on_answered(&self, status: StatusCode) {
        let now = self.gateway.clock.now();
        if status.is_success() {
            self.gateway.on_parts_served(&self.call, now);
        }
        self.gateway.on_request_answered(&self.call, now);
    }
}
