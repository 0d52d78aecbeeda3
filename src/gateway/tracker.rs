//! Tells log and metrics how a request ended, also when its caller leaves before.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Call;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::shared::InFlight;
use crate::routing::CallKind;
use crate::units::CustomerId;
use crate::units::Generation;
use crate::units::whole_millis;

/// The status in the log of a request whose caller left before its answer.
const STATUS_CALLER_GONE: u16 = 499;

/// One request, from its head to its end.
pub(crate) struct Tracker {
    gateway: Arc<Gateway>,
    request: String,
    route: String,
    customer: Option<CustomerId>,
    kind: Option<CallKind>,
    arrived: Instant,
    first_event: Option<Duration>,
    longest_pause: Duration,
    generation: Generation,
    is_over: bool,
    _in_flight: InFlight,
}

impl Tracker {
    pub(crate) fn new(gateway: &Arc<Gateway>, arrived: Instant) -> Self {
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
            arrived,
            first_event: None,
            longest_pause: Duration::ZERO,
            generation: generation.unwrap_or_default(),
            is_over: false,
            _in_flight: gateway.enter(),
        }
    }

    /// Takes in the id, as soon as the head was read.
    pub(crate) fn on_head(&mut self, request: &str) {
        request.clone_into(&mut self.request);
    }

    /// Takes in that the request was admitted.
    pub(crate) fn on_admitted(&mut self, call: &Call) {
        self.route.clone_from(&call.route.name);
        self.customer.clone_from(&call.customer);
        self.kind = Some(call.route.kind);
    }

    /// Takes in that the first event of its answer, or all of it, goes to the caller.
    pub(crate) fn on_first_event(&mut self, now: Instant) {
        let took = now.saturating_duration_since(self.arrived);
        self.first_event = Some(took);
        if let Some(kind) = self.kind {
            let meters = &self.gateway.meters;
            meters.first_event(self.customer.as_ref(), kind, took);
        }
    }

    /// Takes in a pause between two events of its answer.
    pub(crate) fn on_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// Takes in the end.
    pub(crate) fn finish(&mut self, outcome: &str, status: u16) {
        if self.is_over {
            return;
        }
        self.is_over = true;
        let kind = self.kind.map_or("none", CallKind::name);
        self.gateway
            .meters
            .ended(self.customer.as_ref(), kind, outcome);
        if self.kind.is_some_and(CallKind::is_stream) && self.first_event.is_some() {
            let meters = &self.gateway.meters;
            meters.longest_pause(self.customer.as_ref(), self.longest_pause);
        }
        let now = self.gateway.clock.now();
        self.gateway.log.note(Event::Ended {
            request: std::mem::take(&mut self.request),
            route: std::mem::take(&mut self.route),
            customer: self
                .customer
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
            kind: kind.into(),
            outcome: outcome.to_owned(),
            status,
            elapsed_ms: whole_millis(now.saturating_duration_since(self.arrived)),
            first_event_ms: self.first_event.map(whole_millis),
            longest_pause_ms: whole_millis(self.longest_pause),
            generation: self.generation.0,
        });
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.finish("caller_gone", STATUS_CALLER_GONE);
    }
}
