//! Records what the sends of a call tell about upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::decide::RequestPart;
use crate::decide::UpstreamFault;
use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::answer_progress::AnswerProgress;
use crate::gateway::prompt_parts::part_names;
use crate::gateway::send::UpstreamResponse;
use crate::units::whole_millis;

/// Records what the sends of one call tell about upstreams, at once: other calls and hosts depend on
/// it while this call goes on.
#[derive(Clone)]
pub(crate) struct CallRecorder {
    pub(super) gateway: Arc<Gateway>,
    pub(super) call: Arc<Call>,
    /// The number of upstreams at which the call has failed or was lost.
    faulty_runs: Arc<AtomicU32>,
}

impl CallRecorder {
    pub(super) fn new(gateway: &Arc<Gateway>, call: &Arc<Call>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            faulty_runs: Arc::default(),
        }
    }

    /// The number of upstreams that have failed the call or broken their connections to it.
    pub(super) fn faulty_runs(&self) -> u32 {
        self.faulty_runs.load(Ordering::Relaxed)
    }

    /// Records the head of a response.
    pub(super) fn on_response(&self, response: &UpstreamResponse) {
        let upstream = &response.upstream;
        let has_failed = response.head.status.is_server_error();
        self.on_heard(upstream, !has_failed);
        if has_failed {
            self.faulty_runs.fetch_add(1, Ordering::Relaxed);
            self.on_fault(upstream, UpstreamFault::Failed, "failed", None);
        }
    }

    /// Records that an upstream has sent something to the call. `is_response` tells whether this
    /// counts as a response, as the first bytes after a silence do.
    pub(super) fn on_heard(&self, upstream: &ListedUpstream, is_response: bool) {
        let now = self.gateway.clock.now();
        let service = &self.call.service;
        self.gateway.silences().on_heard(service, &upstream.id, now);
        if is_response {
            let mut health = self.gateway.health();
            health.on_response(&upstream.id, &upstream.domain, now);
        }
    }

    /// Records that an upstream has sent nothing to the call for far longer than the work takes.
    pub(super) fn on_silent(
        &self,
        upstream: &ListedUpstream,
        cause: &str,
        progress: AnswerProgress,
    ) {
        let now = self.gateway.clock.now();
        let service = &self.call.service;
        self.gateway
            .silences()
            .on_silent(service, &upstream.id, now);
        self.on_fault(upstream, UpstreamFault::Silent, cause, Some(progress));
    }

    /// Records that an upstream did not run the call. `at_fault` is the helper that it names as the
    /// cause.
    pub(super) fn on_not_run(
        &self,
        upstream: &ListedUpstream,
        fault: UpstreamFault,
        at_fault: Option<SocketAddr>,
        cause: &str,
    ) {
        self.gateway
            .silences()
            .on_lost(&self.call.service, &upstream.id);
        if let Some(addr) = at_fault {
            self.on_helper_fault(addr);
        }
        self.on_fault(upstream, fault, cause, None);
    }

    /// Records that the connection to an upstream was lost while the call may have been running. If
    /// the connection broke, the call may have crashed the upstream, however far the answer had come,
    /// and the report of this is broadcast.
    pub(super) fn on_connection_lost(
        &self,
        upstream: &ListedUpstream,
        fault: UpstreamFault,
        cause: &str,
        progress: AnswerProgress,
    ) {
        self.on_fault(upstream, fault, cause, Some(progress));
        if fault == UpstreamFault::Silent {
            return;
        }
        if matches!(fault, UpstreamFault::Broken | UpstreamFault::Failed) {
            self.faulty_runs.fetch_add(1, Ordering::Relaxed);
        }
        self.gateway
            .silences()
            .on_lost(&self.call.service, &upstream.id);
        if fault != UpstreamFault::Broken {
            return;
        }
        let now = self.gateway.clock.now();
        self.gateway
            .on_crash_suspect(&self.call, upstream, progress, now);
    }

    /// Records a fault of an upstream. If the upstream is unreachable, the fault is broadcast at
    /// once. `progress` is how far the answer had come; none if the call was not written.
    fn on_fault(
        &self,
        upstream: &ListedUpstream,
        fault: UpstreamFault,
        cause: &str,
        progress: Option<AnswerProgress>,
    ) {
        let now = self.gateway.clock.now();
        self.gateway
            .health()
            .on_fault(&upstream.id, &upstream.domain, fault, now);
        if fault == UpstreamFault::ConnectRefused {
            self.gateway.on_upstream_ended(&upstream.id, fault.name());
        }
        if fault.is_unreachable() {
            self.gateway.health_changed.notify_one();
            self.gateway.broadcast_now.notify_one();
        }
        self.gateway.metrics.record_fault(fault.name());
        self.gateway.log.record(DecisionEvent::UpstreamFault {
            request: self.call.head.request.clone(),
            upstream: upstream.id.to_string(),
            fault: format!("{}: {cause}", fault.name()),
            answer: progress.map(|progress| progress.name().into()),
            shared_parts: self.parts_after(progress),
            suspected: self.suspected_after(fault, progress),
            elapsed_ms: whole_millis(now.saturating_duration_since(self.call.arrived_at)),
        });
    }

    /// Records a fault of the helper at this address, because of which another engine refused a
    /// prompt.
    fn on_helper_fault(&self, addr: SocketAddr) {
        let Some(by_service) = self.gateway.platform_view.upstreams() else {
            return;
        };
        let listed = by_service.get(&self.call.service);
        let helper = listed.and_then(|listed| listed.iter().find(|u| u.addr == addr));
        if let Some(helper) = helper {
            self.on_fault(
                helper,
                UpstreamFault::RequestRefused,
                "named as the cause by another engine",
                None,
            );
        }
    }

    /// The name of the request as a whole, for the log, if it may have crashed the upstream: the
    /// connection broke while the call may have been running.
    fn suspected_after(
        &self,
        fault: UpstreamFault,
        progress: Option<AnswerProgress>,
    ) -> Option<String> {
        let is_suspected = fault == UpstreamFault::Broken && progress.is_some();
        is_suspected.then(|| RequestPart::from(self.call.hash()).to_string())
    }

    /// The shared parts of the prompt, for the log, if the call may have been running.
    fn parts_after(&self, progress: Option<AnswerProgress>) -> Vec<String> {
        if progress.is_none() {
            return Vec::new();
        }
        let parts: Vec<RequestPart> = self.call.prompt_parts().collect();
        part_names(&parts)
    }
}
