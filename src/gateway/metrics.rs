//! The metrics of a gateway.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::gateway::CustomerMetrics;
use crate::gateway::customer_metrics::customer_label;
use crate::observe::ObserveError;
use crate::observe::instruments::prometheus_exporter;
use crate::observe::instruments::seconds_histogram;
use crate::routing::CallKind;
use crate::units::CustomerId;

/// Histogram bounds in seconds. The users' objectives, 0.3, 1.5, 3 and 4, have bounds of their own.
const FIRST_EVENT_BOUNDS: [f64; 14] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 15.0,
];
/// Histogram bounds in seconds. The users' objectives for pauses, 0.2, 0.5 and 0.8, have bounds of
/// their own.
const PAUSE_BOUNDS: [f64; 8] = [0.05, 0.1, 0.15, 0.2, 0.35, 0.5, 0.8, 2.0];
/// Histogram bounds in seconds.
const CATALOG_BOUNDS: [f64; 8] = [0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

/// The counters and histograms, with one series per customer and kind of call.
pub struct GatewayMetrics {
    /// How customers share the upstreams.
    pub customers: CustomerMetrics,
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    sends: Counter<u64>,
    retries: Counter<u64>,
    faults: Counter<u64>,
    ejections: Counter<u64>,
    quarantines: Counter<u64>,
    task_panics: Counter<u64>,
    closed_connections: Counter<u64>,
    first_event: Histogram<f64>,
    pause: Histogram<f64>,
    catalog: Histogram<f64>,
    store_returns: Counter<u64>,
    tunnels: Counter<u64>,
    notices: Counter<u64>,
    malformed_notices: Counter<u64>,
    unknown_headers: Counter<u64>,
}

impl GatewayMetrics {
    /// Creates all metrics in a registry of their own.
    pub fn new() -> Result<Self, ObserveError> {
        let registry = Registry::new();
        let exporter = prometheus_exporter(&registry)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("banyanarch");
        Ok(Self {
            customers: CustomerMetrics::new(&meter),
            registry,
            requests: meter.u64_counter("gateway_requests").build(),
            sends: meter.u64_counter("gateway_sends").build(),
            retries: meter.u64_counter("gateway_retries").build(),
            faults: meter.u64_counter("gateway_upstream_faults").build(),
            ejections: meter.u64_counter("gateway_upstream_ejections").build(),
            quarantines: meter.u64_counter("gateway_part_quarantines").build(),
            task_panics: meter.u64_counter("gateway_task_panics").build(),
            closed_connections: meter
                .u64_counter("gateway_closed_caller_connections")
                .build(),
            first_event: seconds_histogram(&meter, "gateway_first_event", &FIRST_EVENT_BOUNDS),
            pause: seconds_histogram(&meter, "gateway_pause", &PAUSE_BOUNDS),
            tunnels: meter.u64_counter("gateway_tunnels").build(),
            store_returns: meter.u64_counter("gateway_store_returns").build(),
            notices: meter.u64_counter("gateway_upstream_notices").build(),
            malformed_notices: meter.u64_counter("gateway_malformed_notices").build(),
            unknown_headers: meter.u64_counter("gateway_unknown_headers").build(),
            catalog: seconds_histogram(&meter, "gateway_catalog_call", &CATALOG_BOUNDS),
            _provider: provider,
        })
    }

    /// Records the outcome of a request. `kind` is the name of the kind of call.
    pub fn record_request(&self, customer: Option<&CustomerId>, kind: &'static str, outcome: &str) {
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.requests.add(
            1,
            &[
                customer_label(customer),
                KeyValue::new("class", kind),
                outcome,
            ],
        );
    }

    /// Records that a request was sent to an upstream. `is_retry` tells whether the request had
    /// been sent before.
    pub fn record_send(&self, is_retry: bool) {
        self.sends.add(1, &[KeyValue::new("retry", is_retry)]);
    }

    /// Records whether the retry budget has allowed a retry.
    pub fn record_retry(&self, is_allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", is_allowed)]);
    }

    /// Records a fault of an upstream. `fault` is its name.
    pub fn record_fault(&self, fault: &'static str) {
        self.faults.add(1, &[KeyValue::new("fault", fault)]);
    }

    /// Records that an upstream was ejected, is probed, or was reinstated. `change` is the name of
    /// the change.
    pub fn record_ejection(&self, change: &'static str) {
        self.ejections.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records that requests with some parts in their prompts are refused from now on, or no longer.
    /// `change` is the name of the change.
    pub fn record_quarantine(&self, change: &'static str) {
        self.quarantines.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records that a task of this host has panicked.
    pub(crate) fn record_task_panic(&self, task: &'static str) {
        self.task_panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Records that a connection of a caller was closed unread, since too many were open.
    pub fn record_connection_closed(&self) {
        self.closed_connections.add(1, &[]);
    }

    /// Records a response in which an upstream states something about itself. `notice` is the kind
    /// of the statement.
    pub fn record_notice(&self, notice: &'static str) {
        self.notices.add(1, &[KeyValue::new("notice", notice)]);
    }

    /// Records a notice whose value is malformed.
    pub fn record_malformed_notice(&self, notice: &'static str) {
        self.malformed_notices
            .add(1, &[KeyValue::new("notice", notice)]);
    }

    /// Records a header in a response that this system does not know. The caller bounds the number
    /// of names.
    pub fn record_unknown_header(&self, header: &str) {
        let header = KeyValue::new("header", header.to_owned());
        self.unknown_headers.add(1, &[header]);
    }

    /// Records the time from the arrival of a request to its response, or to the first event of a
    /// stream.
    pub fn record_first_event(
        &self,
        customer: Option<&CustomerId>,
        kind: CallKind,
        took: Duration,
    ) {
        let labels = [
            customer_label(customer),
            KeyValue::new("class", kind.name()),
        ];
        self.first_event.record(took.as_secs_f64(), &labels);
    }

    /// Records the longest pause between two events of a stream.
    pub fn record_longest_pause(&self, customer: Option<&CustomerId>, took: Duration) {
        self.pause
            .record(took.as_secs_f64(), &[customer_label(customer)]);
    }

    /// Records a tunnel that this host has requested from another host, or has provided to one.
    /// `role` is `requested` or `provided`.
    pub fn record_tunnel(&self, role: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("role", role),
            KeyValue::new("outcome", outcome),
        ];
        self.tunnels.add(1, &labels);
    }

    /// Records that the store of the platform was restored from an older copy.
    pub fn record_store_return(&self) {
        self.store_returns.add(1, &[]);
    }

    /// Records the duration of a call to the platform's catalog. `call` is the name of the call.
    pub fn record_catalog_call(&self, call: &'static str, took: Duration) {
        self.catalog
            .record(took.as_secs_f64(), &[KeyValue::new("call", call)]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, ObserveError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
