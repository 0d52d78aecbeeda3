//! Records in the decision log and the metrics how a request ended, also when the caller
//! disconnects first.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::shared::InFlightRequest;
use crate::routing::CallKind;
use crate::units::CustomerId;
use crate::units::Generation;
use crate::units::whole_millis;

/// The status logged for a request whose caller disconnected before the response.
const STATUS_CALLER_GONE: u16 = 499;

/// The outcome of a request that was answered with success, to the end.
pub(crate) const OUTCOME_SERVED: &str = "served";

/// The progress of one request from its head to its end. If a tracker is dropped unfinished, the
/// caller has disconnected, and this is recorded as the end.
pub(crate) struct RequestTracker {
    gateway: Arc<Gateway>,
    request: String,
    route: String,
    customer: Option<CustomerId>,
    kind: Option<CallKind>,
    arrived_at: Instant,
    /// The time from the arrival to the first event of the response.
    first_event: Option<Duration>,
    longest_pause: Duration,
    /// The generation of the manifest at the arrival.
    generation: Generation,
    /// Why the response was cut; none if it was not.
    cause: Option<String>,
    is_finished: bool,
    _in_flight: InFlightRequest,
}

impl RequestTracker {
    /// Starts tracking a request, which counts as in flight until the tracker is dropped.
    pub(crate) fn new(gateway: &Arc<Gateway>, arrived_at: Instant) -> Self {
        let generation = gateway
            .platform_view
            .routes()
            .map(|routes| routes.generation);
        Self {
            gateway: Arc::clone(gateway),
            request: String::new(),
            route: String::new(),
            customer: None,
            kind: None,
            arrived_at,
            first_event: None,
            longest_pause: Duration::ZERO,
            generation: generation.unwrap_or_default(),
            cause: None,
            is_finished: false,
            _in_flight: gateway.count_in_flight(),
        }
    }

    /// Records the request id once the head has been parsed.
    pub(crate) fn on_head(&mut self, request: &str) {
        request.clone_into(&mut self.request);
    }

    /// Records that the request was admitted.
    pub(crate) fn on_admitted(&mut self, call: &Call) {
        self.route.clone_from(&call.route.name);
        self.customer.clone_from(&call.customer);
        self.kind = Some(call.route.kind);
    }

    /// Records that the first event of the response, or the complete response, is sent to the
    /// caller.
    pub(crate) fn on_first_event(&mut self, now: Instant) {
        let took = now.saturating_duration_since(self.arrived_at);
        self.first_event = Some(took);
        if let Some(kind) = self.kind {
            let metrics = &self.gateway.metrics;
            metrics.record_first_event(self.customer.as_ref(), kind, took);
        }
    }

    /// Keeps the longest pause between two events of the response. Updates no metrics.
    pub(crate) fn on_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// Records why the response is about to be cut.
    pub(crate) fn on_cut(&mut self, cause: String) {
        self.cause = Some(cause);
    }

    /// Records the end of the request in the metrics and the decision log. Only the first call has
    /// an effect.
    pub(crate) fn finish(&mut self, outcome: &str, status: u16) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let kind = self.kind.map_or("none", CallKind::name);
        self.gateway
            .metrics
            .record_request(self.customer.as_ref(), kind, outcome);
        if self.kind.is_some_and(CallKind::is_stream) && self.first_event.is_some() {
            let metrics = &self.gateway.metrics;
            metrics.record_longest_pause(self.customer.as_ref(), self.longest_pause);
        }
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(self.arrived_at);
        if outcome == OUTCOME_SERVED {
            self.gateway.durations().record(&self.route, took);
        }
        self.gateway.log.record(DecisionEvent::Ended {
            request: std::mem::take(&mut self.request),
            route: std::mem::take(&mut self.route),
            customer: self
                .customer
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
            kind: kind.into(),
            outcome: outcome.to_owned(),
            cause: self.cause.take(),
            status,
            elapsed_ms: whole_millis(took),
            first_event_ms: self.first_event.map(whole_millis),
            longest_pause_ms: whole_millis(self.longest_pause),
            generation: self.generation.0,
        });
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.finish("caller_gone", STATUS_CALLER_GONE);
    }
}
