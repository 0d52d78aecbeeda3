//! The entries of the decision log.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::EngineCountsRecord;
use crate::gateway::ExcludedRecord;
use crate::gateway::RateLimitRecord;
use crate::units::Priority;

/// A decision about a request, or a change in the state of the host. Each event is written as one
/// line of JSON.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DecisionEvent {
    /// The host has started.
    Started {
        /// The failure domain of the host.
        domain: String,
        /// The address for callers.
        callers_addr: String,
    },
    /// The host was asked to stop.
    Stopping {
        /// The number of requests in flight.
        in_flight: u64,
    },
    /// The host has stopped.
    Stopped {
        /// The number of requests that were still running and were cut off.
        cut: u64,
    },
    /// A long-running task of this host has panicked.
    TaskPanicked {
        /// The name of the task.
        task: Cow<'static, str>,
        /// The message of the panic.
        error: String,
        /// The pause until the task is started again, in which this host is not ready, in ms; none if
        /// the host shuts down.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        restarted_after_ms: Option<u64>,
    },
    /// Bodies of which the callers sent nothing more, or of the customer with most of them, were refused to
    /// make room for that of another request.
    BodiesDisplaced {
        /// The id of the request.
        request: String,
        /// The number of bodies.
        displaced: usize,
        /// The bytes of bodies that this host holds.
        held_bytes: usize,
    },
    /// So many connections of callers are open that further ones are closed unread. Logged once until
    /// a connection is served again.
    ConnectionsFull {
        /// The number of open connections.
        open: usize,
        /// The number that may be open.
        max: usize,
    },
    /// The settings file was read again.
    Reloaded {
        /// The result.
        outcome: String,
    },
    /// A manifest has come into force.
    ManifestInForce {
        /// The generation of the manifest.
        generation: u64,
        /// The number of routes.
        routes: usize,
        /// The number of keys.
        keys: usize,
    },
    /// The list of upstreams has changed.
    UpstreamsChanged {
        /// The number of upstreams that may receive requests.
        usable: usize,
        /// The upstreams that are new on the list.
        joined: Vec<String>,
        /// The upstreams that were removed from the list or are leaving.
        left: Vec<String>,
        /// The ids of the former incarnations of upstreams that have restarted under the same name.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        restarted: Vec<String>,
    },
    /// This host has found out from which host it gets the platform's lists after its start.
    StartingReaderFound {
        /// The host.
        reader: String,
        /// Whether it is this host, which reads the platform.
        is_own: bool,
    },
    /// A call to the platform for the entry of the starting reader has failed.
    StartingReaderFailed {
        /// The error.
        error: String,
    },
    /// Operators have evacuated failure domains, or have ended evacuations.
    EvacuationsChanged {
        /// The failure domains that are evacuated now.
        evacuated: Vec<String>,
        /// Those among them in which no upstream is listed.
        without_upstreams: Vec<String>,
        /// The number of listed upstreams in evacuated failure domains.
        upstreams: usize,
    },
    /// The lease on the evacuations has expired or is held again. While it is `expired`, nothing is
    /// sent; while it is `waived`, this host is cut off from the platform, or was until just now,
    /// and sends by the evacuations that it knows.
    EvacuationLease {
        /// The state of the lease: `held`, `waived` or `expired`.
        state: Cow<'static, str>,
        /// The time since the evacuations were last confirmed, in ms.
        age_ms: u64,
        /// The time for which upstreams may get requests after their evacuation, in ms. The lease
        /// is a little shorter.
        lease_ms: u64,
        /// How long this host has been in contact with the platform, itself or through other hosts,
        /// in ms; none while it is not.
        contact_ms: Option<u64>,
    },
    /// The route by which updates of other hosts arrive has changed.
    #[serde(rename = "news_route")]
    UpdateRouteChanged {
        /// The host that forwards updates of other failure domains; none if all hosts send to each
        /// other directly, or if this host is the collector.
        collector: Option<String>,
        /// The maximum age of updates of this failure domain when none is lost, in ms.
        near_age_ms: u64,
        /// The maximum age of updates of other failure domains when none is lost, in ms.
        far_age_ms: u64,
    },
    /// The store of the platform was restored from an older copy. Writes after the copy are lost,
    /// and the revisions of the store go back. This host reads its cached state again and registers
    /// itself again.
    StoreReturned {
        /// The era of the store before.
        former_era: u16,
        /// The era of the store now.
        era: u16,
        /// The revision of the cached manifest.
        former_revision: u64,
        /// The revision of the manifest that was read.
        revision: u64,
    },
    /// The platform has an older manifest than the one in force, which stays in force. Reading the
    /// older manifest does not renew the lease on keys.
    ManifestOlder {
        /// The generation of the manifest in force.
        in_force: u64,
        /// The generation of the manifest that was read.
        generation: u64,
    },
    /// A dependency is unreachable.
    DependencyLost {
        /// The name of the dependency.
        dependency: Cow<'static, str>,
        /// The error.
        error: String,
    },
    /// A dependency is reachable again.
    DependencyRegained {
        /// The name of the dependency.
        dependency: Cow<'static, str>,
        /// How long the dependency was unreachable, in ms.
        away_ms: u64,
    },
    /// An engine has reported to this host that it has become slow or has recovered.
    UpstreamSpeed {
        /// The id of the engine.
        upstream: String,
        /// The ratio of the time that the engine takes to the time in its model.
        slowdown: f64,
    },
    /// An upstream advertises a different limit than before.
    UpstreamLimit {
        /// The id of the upstream.
        upstream: String,
        /// The requests per second that the upstream accepts from all hosts together; none if it
        /// has no limit.
        limit_per_s: Option<f64>,
        /// The host or collector that reported the limit; none if a response to this host did.
        told_by: Option<String>,
        /// The time since the upstream advertised the limit, in ms.
        age_ms: u64,
    },
    /// An upstream is leaving, according to a response or to another host. Logged once per
    /// incarnation; what the platform's list says is in [`DecisionEvent::UpstreamsChanged`].
    UpstreamLeaving {
        /// The id of the upstream.
        upstream: String,
        /// The host that reported it; none if a response to this host did.
        told_by: Option<String>,
    },
    /// This host has ejected an upstream because of the outcomes of calls of all hosts, probes it, or
    /// has reinstated it.
    UpstreamEjection {
        /// The id of the upstream.
        upstream: String,
        /// What has changed: `ejected`, `probed` or `reinstated`.
        change: Cow<'static, str>,
        /// The recent calls to the upstream that were answered or failed.
        calls: u32,
        /// The failures among them.
        failures: u32,
        /// The recent calls to the rest of the service, without other upstreams that fail too many;
        /// 0 if more than half of the service does.
        rest_calls: u32,
        /// The failures among them.
        rest_failures: u32,
        /// The hosts, and collectors on behalf of their hosts, whose calls are among them besides
        /// those of this host.
        hosts_heard: usize,
        /// The time for which the upstream gets no calls, in ms; 0 if it is not ejected.
        pause_ms: u64,
        /// The ejections that made the pause longer, this one included; 0 if it is not ejected.
        ejections: u32,
    },
    /// An upstream that has refused a request wants no requests from this host for a time that ends
    /// later than any it wanted before.
    UpstreamBackoff {
        /// The id of the upstream.
        upstream: String,
        /// The requested time, in ms.
        requested_ms: u64,
        /// The time that this host grants, in ms.
        backoff_ms: u64,
    },
    /// A store that was restored from an older copy lists an upstream that had left. It gets no
    /// requests until it is removed again, or for this time.
    UpstreamReturned {
        /// The id of the upstream.
        upstream: String,
        /// The time, in ms.
        held_ms: u64,
    },
    /// A response contains a header that this system does not know. Logged once per name.
    UnknownHeader {
        /// The id of the upstream.
        upstream: String,
        /// The name of the header.
        header: String,
    },
    /// An upstream states something about itself with a malformed value, which changes nothing.
    /// Logged at most once in ten seconds per upstream and kind of notice.
    NoticeMalformed {
        /// The id of the upstream.
        upstream: String,
        /// The kind of notice: `limit`, `leaving` or `backoff`.
        notice: Cow<'static, str>,
        /// The malformed value.
        value: String,
    },
    /// This host no longer reaches an upstream itself, while another host does, and connects through
    /// other hosts from now on.
    PathLost {
        /// The id of the upstream.
        upstream: String,
        /// The host that has reached the upstream; none if a probe of the direct path has failed
        /// since then.
        reached_by: Option<String>,
    },
    /// This host reaches an upstream itself again.
    PathRegained {
        /// The id of the upstream.
        upstream: String,
    },
    /// A request is sent through another host.
    Tunneled {
        /// The id of the request.
        request: String,
        /// The id of the upstream.
        upstream: String,
        /// The other host.
        via: String,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
    },
    /// Another host of the failure domain has reported upstreams or failure domains as unreachable,
    /// and this host avoids them because of this report.
    UnreachableReported {
        /// The host that reported them.
        told_by: String,
        /// The number of upstreams.
        upstreams: usize,
        /// The number of failure domains.
        domains: usize,
    },
    /// An upstream failed a request or was unreachable.
    UpstreamFault {
        /// The id of the request.
        request: String,
        /// The id of the upstream.
        upstream: String,
        /// The fault and its cause.
        fault: String,
        /// How far the answer had come: `unanswered`, `begun` or `events`; none for faults before the
        /// request was written.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        answer: Option<Cow<'static, str>>,
        /// The parts of the prompt that other requests may share, if the answer had begun.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        shared_parts: Vec<String>,
        /// The name of the request as a whole among quarantined parts, if the request is suspected
        /// of having crashed the upstream.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        suspected: Option<String>,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
    },
    /// Requests with some parts, which crash upstreams, are refused from now on, or no longer.
    PartQuarantine {
        /// The change: `begun` or `ended`.
        change: Cow<'static, str>,
        /// The ids of the parts: requests with all of them are refused.
        parts: Vec<String>,
        /// The number of upstreams that have crashed.
        crashes: usize,
        /// The host whose report caused the change; none for an observation of this host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        told_by: Option<String>,
        /// For how long requests are refused if nothing more is observed, in ms.
        time_left_ms: u64,
    },
    /// The tries with a part of prompts, under which many upstreams have ended, were counted.
    PartCounted {
        /// The id of the part.
        part: String,
        /// The crashes in which calls with it were lost, apart from those that another part was found to
        /// cause.
        crashes: usize,
        /// The tries that were served, as far as this host knows.
        served: usize,
        /// The crashes that would have lost calls with it if it caused none.
        expected_crashes: f64,
        /// Whether the part is refused from now on. If not, the other numbers say why.
        is_cause: bool,
    },
    /// An upstream was found to have ended, shortly after calls of this host had ended there.
    UpstreamEnded {
        /// The upstream.
        upstream: String,
        /// What shows it: `connect_refused` or `not_listed`.
        sign: String,
        /// The requests as a whole that may have crashed it, 16 at most.
        suspected: Vec<String>,
    },
    /// The quarantines in the platform were read after the start.
    QuarantinesRestored {
        /// The number of quarantines.
        quarantines: usize,
    },
    /// A quarantine was saved in the platform.
    QuarantineSaved {
        /// The id of the quarantine.
        quarantine: String,
        /// The number of crashes that were saved.
        crashes: usize,
    },
    /// A quarantine that has ended was deleted from the platform.
    QuarantineDeleted {
        /// The id of the quarantine.
        quarantine: String,
    },
    /// The time of a quarantine is over, or a request was lost as often as begins one, and the request was
    /// to show whether it still crashes upstreams.
    QuarantineProbe {
        /// The id of the request.
        request: String,
        /// The ids of the quarantined parts.
        parts: Vec<String>,
        /// The number of upstreams that have crashed.
        crashes: usize,
        /// Whether the crashes were found to be under these parts. If not, others may explain them.
        is_found: bool,
        /// Whether the request is the probe, and sent. If not, another one is, or the platform has not
        /// answered, and the request is refused.
        is_claimed: bool,
    },
    /// A call to the platform about quarantines failed. It is repeated.
    QuarantinesFailed {
        /// The error.
        error: String,
    },
    /// A response was dropped, since this host holds as many bytes of bodies as it may.
    MemoryFull {
        /// The id of the request.
        request: String,
        /// The upstream.
        upstream: String,
        /// The number of bytes that are reserved for bodies.
        held_bytes: usize,
    },
    /// An engine refused to reserve memory for a prompt that several engines share.
    ReservationRefused {
        /// The id of the request.
        request: String,
        /// The error returned by the engine.
        error: String,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The id of the request.
        request: String,
        /// The id of the upstream.
        upstream: String,
        /// The engines that prefill parts of the prompt beside the leader.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        helpers: Vec<String>,
        /// The number of engines with memory reserved for the prompt.
        reserves: usize,
        /// The number of earlier sends of the request.
        earlier_sends: u32,
        /// The forecast time until the first event, in ms; 0 for plain services.
        forecast_ms: u64,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
        /// The length of the prompt in tokens.
        prompt_tokens: u64,
        /// The age of the manifest, in ms.
        manifest_age_ms: u64,
        /// The limit that the upstream advertises and the requests it has received; none if it
        /// advertises no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<RateLimitRecord>,
        /// The upstreams of the service that accepted no requests; none if all did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        excluded: Option<ExcludedRecord>,
    },
    /// The retry budget has allowed or refused a retry, with the numbers that the decision was based
    /// on.
    RetryChecked {
        /// The id of the request.
        request: String,
        /// The service of the request.
        service: String,
        /// Whether the retry is allowed.
        is_allowed: bool,
        /// The requests of this host to the service in the window.
        requests: usize,
        /// The retries of this host to the service in the window, without this one.
        retries: usize,
        /// The number of hosts that share the allowance; none if this host does not know it.
        hosts: Option<usize>,
        /// The number of retries that this host may make in the window.
        budget: f64,
        /// The time since the start of this host, in ms.
        uptime_ms: u64,
    },
    /// A request has waited for one second. Logged once per request.
    Waiting {
        /// The id of the request.
        request: String,
        /// The length of the prompt in tokens.
        prompt_tokens: u64,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
        /// The time left until the response is late, in ms.
        objective_left_ms: u64,
        /// The time left until the deadline, in ms.
        time_left_ms: u64,
        /// The number of placement decisions so far.
        choices: u32,
        /// For a prompt that several engines can share, the engines in the failure domain of this
        /// host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        near: Option<Box<EngineCountsRecord>>,
        /// For a prompt that several engines can share, all engines of the service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        all: Option<Box<EngineCountsRecord>>,
        /// The customer; none on a route that needs no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        customer: Option<String>,
        /// The priority; none if the manifest lists none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        priority: Option<Priority>,
        /// The ratio of what all hosts do for the customer at the service to the customer's share;
        /// none if customers do not share the service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        share_ratio: Option<f64>,
    },
    /// This host refused a request, with the state that the decision was based on.
    Refused {
        /// The id of the request.
        request: String,
        /// The name of the reason.
        reason: Cow<'static, str>,
        /// The length of the prompt in tokens; 0 for plain services.
        prompt_tokens: u64,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
        /// The time left until the response would be late, in ms.
        objective_left_ms: u64,
        /// The time left until the deadline, in ms.
        #[serde(default)]
        time_left_ms: u64,
        /// The number of placement decisions.
        #[serde(default)]
        choices: u32,
        /// For a prompt that several engines can share, the engines in the failure domain of this
        /// host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        near: Option<Box<EngineCountsRecord>>,
        /// For a prompt that several engines can share, all engines of the service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        all: Option<Box<EngineCountsRecord>>,
        /// The upstreams of the service that accepted no requests; none if all did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        excluded: Option<ExcludedRecord>,
        /// The parts of the prompt that crash upstreams; empty for other reasons.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        quarantined_parts: Vec<String>,
        /// The number of upstreams that have crashed under these parts; 0 for other reasons.
        #[serde(default, skip_serializing_if = "is_zero")]
        crashes: usize,
        /// The customer; none on a route that needs no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        customer: Option<String>,
        /// The priority; none if the manifest lists none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        priority: Option<Priority>,
        /// The ratio of what all hosts do for the customer at the service to the customer's share;
        /// none if customers do not share the service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        share_ratio: Option<f64>,
        /// The time after which the caller was asked to retry, in ms.
        retry_after_ms: u64,
        /// The number of listed upstreams of the service.
        upstreams: usize,
        /// The number of other hosts, or collectors on behalf of their hosts, whose load was known.
        hosts_heard: usize,
        /// The age of the manifest, in ms.
        manifest_age_ms: u64,
    },
    /// A call that may have run could not be sent again. It is not refused: an upstream that is
    /// silent may still answer, and otherwise the caller is told that the call may have run.
    NotResent {
        /// The id of the request.
        request: String,
        /// The reason.
        reason: Cow<'static, str>,
        /// The number of sends that may have run.
        runs: u32,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
        /// The time left until the deadline, in ms.
        time_left_ms: u64,
        /// The number of listed upstreams of the service.
        upstreams: usize,
    },
    /// The upstream of a call is silent, and the call is not sent to another one for now because most
    /// upstreams are silent.
    ResendHeld {
        /// The id of the request.
        request: String,
        /// The service.
        service: String,
        /// The number of silent upstreams of the service.
        silent_upstreams: usize,
        /// The number of upstreams of the service that could take over calls.
        able_upstreams: usize,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
    },
    /// A request has ended.
    Ended {
        /// The id of the request.
        request: String,
        /// The route of the request; empty if there is none.
        route: String,
        /// The customer of the request; empty if there is none.
        customer: String,
        /// The kind of the request.
        kind: Cow<'static, str>,
        /// The name of the outcome.
        outcome: String,
        /// Why the response was cut: the fault of the upstream, and the reason for which the call was
        /// not sent again, if any; none if the response was not cut.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cause: Option<String>,
        /// The status returned to the caller.
        status: u16,
        /// The time since the request arrived, in ms.
        elapsed_ms: u64,
        /// The time from the arrival to the first event of the response, in ms; none if there was
        /// no event.
        first_event_ms: Option<u64>,
        /// The longest pause between two events of the response, in ms.
        longest_pause_ms: u64,
        /// The generation of the manifest by which the request was admitted.
        generation: u64,
    },
}

impl DecisionEvent {
    /// The id of the request that the event is about, if any.
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::UpstreamFault { request, .. }
            | Self::ReservationRefused { request, .. }
            | Self::Sent { request, .. }
            | Self::RetryChecked { request, .. }
            | Self::Tunneled { request, .. }
            | Self::Waiting { request, .. }
            | Self::Refused { request, .. }
            | Self::NotResent { request, .. }
            | Self::ResendHeld { request, .. }
            | Self::Ended { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Whether the event may use the capacity of the log that is reserved for failures: events of
    /// failures and of the host itself may, events of successful requests may not.
    pub fn has_priority(&self) -> bool {
        match self {
            Self::Sent { .. } | Self::Tunneled { .. } | Self::Waiting { .. } => false,
            Self::Ended { status, cause, .. } => *status >= 400 || cause.is_some(),
            _ => true,
        }
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &usize) -> bool {
    *count == 0
}
