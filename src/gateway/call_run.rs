//! A call at the upstreams that run it.

use std::sync::Arc;

use hyper::StatusCode;

use crate::decide::CallEnd;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::gateway::send::SendOutcome;
use crate::units::UpstreamId;

/// A call at the upstreams that may run it. However it ends there, also when it is dropped, this is
/// recorded: the upstreams may still crash under it.
pub(crate) struct CallRun {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    upstream: UpstreamId,
    /// The engines that read parts of the prompt for the upstream.
    helpers: Vec<UpstreamId>,
    /// How the call has ended so far; none if it has not run, or its end is recorded as a crash.
    end: Option<CallEnd>,
}

impl CallRun {
    /// Creates a call that has not run yet.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        call: &Arc<Call>,
        upstream: UpstreamId,
        helpers: Vec<UpstreamId>,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            upstream,
            helpers,
            end: None,
        }
    }

    /// Records that the call is being sent, and may run from now on.
    pub(crate) fn on_sent(&mut self) {
        self.end = Some(CallEnd::Unanswered);
    }

    /// Records that the call has not run, or that its end is recorded as a crash.
    pub(crate) fn forget(&mut self) {
        self.end = None;
    }

    /// Records how the send has ended without an answer.
    pub(crate) fn on_outcome(&mut self, outcome: &SendOutcome) {
        match outcome {
            SendOutcome::NotRun { .. }
            | SendOutcome::Lost {
                fault: UpstreamFault::Broken,
                ..
            } => self.forget(),
            SendOutcome::Lost { .. } | SendOutcome::Answered(_) => {}
        }
    }

    /// Records that the call was answered in full.
    pub(crate) fn on_answered(&mut self, status: StatusCode) {
        self.end = Some(if status.is_success() {
            CallEnd::Succeeded
        } else {
            CallEnd::Failed
        });
    }
}

impl Drop for CallRun {
    fn drop(&mut self) {
        let Some(end) = self.end else {
            return;
        };
        self.gateway.on_call_ended(&self.call, &self.upstream, end);
        // A helper has not written the answer, so that it shows nothing by living on.
        for helper in &self.helpers {
            self.gateway
                .on_call_ended(&self.call, helper, CallEnd::Unanswered);
        }
    }
}
