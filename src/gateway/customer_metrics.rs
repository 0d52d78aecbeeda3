//! The metrics of how customers share the upstreams of a service.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::observe::instruments::seconds_histogram;
use crate::routing::CallKind;
use crate::units::CustomerId;
use crate::units::ServiceId;

/// Histogram bounds in seconds. A quarter of each of the users' objectives, 0.3, 1.5, 3 and 4, has a
/// bound of its own: no call should wait longer than that to be refused.
const QUEUE_WAIT_BOUNDS: [f64; 12] = [
    0.01, 0.03, 0.075, 0.15, 0.375, 0.5, 0.75, 1.0, 1.5, 3.0, 6.0, 10.0,
];

/// The metrics by customer of the manifest. Calls without a customer are recorded under "none", so
/// that callers cannot create series.
pub struct CustomerMetrics {
    time_wanted: Counter<f64>,
    time_used: Counter<f64>,
    share_ratio: Gauge<f64>,
    queue_wait: Histogram<f64>,
}

impl CustomerMetrics {
    /// Creates the metrics.
    pub(super) fn new(meter: &Meter) -> Self {
        let seconds_counter = |name| meter.f64_counter(name).with_unit("s").build();
        Self {
            time_wanted: seconds_counter("gateway_engine_time_wanted"),
            time_used: seconds_counter("gateway_engine_time_used"),
            share_ratio: meter.f64_gauge("gateway_share_ratio").build(),
            queue_wait: seconds_histogram(meter, "gateway_queue_wait", &QUEUE_WAIT_BOUNDS),
        }
    }

    /// Adds the time of upstreams that a call needs, whether it is served or not. Called once for
    /// each call.
    pub fn record_time_wanted(
        &self,
        customer: Option<&CustomerId>,
        service: &ServiceId,
        time: Duration,
    ) {
        let labels = [customer_label(customer), service_label(service)];
        self.time_wanted.add(time.as_secs_f64(), &labels);
    }

    /// Adds the time of upstreams that a call has been given. Called once for each send.
    pub fn record_time_used(
        &self,
        customer: Option<&CustomerId>,
        service: &ServiceId,
        time: Duration,
    ) {
        let labels = [customer_label(customer), service_label(service)];
        self.time_used.add(time.as_secs_f64(), &labels);
    }

    /// Sets the ratio of what all hosts do for a customer at a service to the customer's share; 1 is
    /// exactly the share.
    pub fn set_share_ratio(&self, customer: &CustomerId, service: &ServiceId, ratio: f64) {
        let labels = [customer_label(Some(customer)), service_label(service)];
        self.share_ratio.record(ratio, &labels);
    }

    /// Records how long a call has waited for an upstream before it was sent or refused.
    pub fn record_queue_wait(
        &self,
        customer: Option<&CustomerId>,
        kind: CallKind,
        waited: Duration,
    ) {
        let labels = [
            customer_label(customer),
            KeyValue::new("class", kind.name()),
        ];
        self.queue_wait.record(waited.as_secs_f64(), &labels);
    }
}

/// The label with the name of the customer, or "none".
pub(super) fn customer_label(customer: Option<&CustomerId>) -> KeyValue {
    let name = customer.map_or("none", CustomerId::as_str);
    KeyValue::new("customer", name.to_owned())
}

fn service_label(service: &ServiceId) -> KeyValue {
    KeyValue::new("service", service.as_str().to_owned())
}
