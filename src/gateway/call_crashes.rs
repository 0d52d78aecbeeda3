//! Calls that crash upstreams, as the dispatcher of a call sees them.

use std::time::Instant;

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
}
