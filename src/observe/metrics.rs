//! Metrics of a host, recorded with OpenTelemetry and rendered in the Prometheus text format.
//!
//! Durations are recorded by customer and length class. The number of series is bounded: customers
//! that the manifest does not list count as `default`, so that callers can't create series by
//! sending new names. Beyond [`SERIES_MAX`] series per metric, the library adds all new label sets
//! to one overflow series.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::StringValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::Instrument;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Stream;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::cluster_view::ClusterView;
use crate::control::outcome::Outcome;
use crate::decide::LengthClass;
use crate::manifest::Manifest;
use crate::observe::HostCounts;
use crate::observe::ObserveError;
use crate::observe::gauges;
use crate::observe::instruments::prometheus_exporter;
use crate::observe::instruments::seconds_histogram;
use crate::observe::latest_counts::LatestCounts;
use crate::units::CustomerId;

/// The maximum number of series per metric. 670 customers, 4 length classes and 3 outcomes make
/// 8,040 series.
const SERIES_MAX: usize = 10_000;

/// Histogram bounds in seconds. The objective is a first token within 1.8 s for 95 % of the
/// requests, so 1.8 is a bound of its own. The longest prompts take minutes.
const FIRST_TOKEN_BOUNDS: [f64; 15] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0,
];
/// Histogram bounds in seconds. The objective is 0.047 s for 95 % of the gaps between tokens, so
/// 0.047 is a bound of its own.
const TOKEN_GAP_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.03, 0.04, 0.047, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
];
/// Histogram bounds in seconds.
const QUEUE_WAIT_BOUNDS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 30.0, 300.0,
];

/// The metrics of one host.
pub struct Metrics {
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    customers: RwLock<IndexMap<CustomerId, StringValue>>,
    latest_counts: Arc<LatestCounts>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    requests: Counter<u64>,
    failures: Counter<u64>,
    retries: Counter<u64>,
    in_flight: UpDownCounter<i64>,
}

impl Metrics {
    /// Creates all metrics in a registry of their own.
    pub fn new() -> Result<Self, ObserveError> {
        let registry = Registry::new();
        let exporter = prometheus_exporter(&registry)?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(with_series_limit)
            .build();
        let meter = provider.meter("banyanarch");
        let latest_counts = Arc::new(LatestCounts::default());
        gauges::register_cluster_gauges(&meter, &latest_counts);
        gauges::register_host_instruments(&meter, &latest_counts);
        gauges::register_pool_gauges(&meter, &latest_counts);
        let metrics = Self {
            registry,
            customers: RwLock::default(),
            latest_counts,
            first_token: seconds_histogram(&meter, "time_to_first_token", &FIRST_TOKEN_BOUNDS),
            token_gap: seconds_histogram(&meter, "time_between_tokens", &TOKEN_GAP_BOUNDS),
            queue_wait: seconds_histogram(&meter, "queue_wait", &QUEUE_WAIT_BOUNDS),
            requests: meter.u64_counter("requests").build(),
            failures: meter.u64_counter("failures").build(),
            retries: meter.u64_counter("retries").build(),
            in_flight: meter.i64_up_down_counter("in_flight").build(),
            _provider: provider,
        };
        Ok(metrics)
    }

    /// Updates the counts of hosts and upstreams from the cluster view, and the customers that get
    /// their own series if the manifest in force has changed. Call this before each rendering.
    pub fn update_cluster_counts(&self, cluster_view: &ClusterView) {
        let previous = self.latest_counts.cluster().generation;
        self.latest_counts.update_cluster(cluster_view);
        if let Some(in_force) = cluster_view.manifest()
            && previous != Some(in_force.generation)
        {
            self.set_customers(&in_force.manifest);
        }
    }

    /// Replaces the counts of the host's components. Call this before each rendering.
    pub fn update_host_counts(&self, counts: HostCounts) {
        self.latest_counts.update_host(counts);
    }

    /// Replaces the customers that get their own series by those of a manifest.
    pub fn set_customers(&self, manifest: &Manifest) {
        let label = |name: &CustomerId| StringValue::from(Arc::<str>::from(name.as_str()));
        let names = manifest.customers.iter().map(|customer| &customer.name);
        let customers = names.map(|name| (name.clone(), label(name))).collect();
        let mut current = self
            .customers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = customers;
    }

    /// Records the time from the first byte of a request to the first token of its answer.
    pub fn record_first_token(&self, customer: &CustomerId, class: LengthClass, elapsed: Duration) {
        self.first_token.record(
            elapsed.as_secs_f64(),
            &self.customer_and_class_labels(customer, class),
        );
    }

    /// Records the time between two tokens of an answer.
    pub fn record_token_gap(&self, customer: &CustomerId, class: LengthClass, gap: Duration) {
        self.token_gap.record(
            gap.as_secs_f64(),
            &self.customer_and_class_labels(customer, class),
        );
    }

    /// Records how long a request waited at its home until it was granted.
    pub fn record_queue_wait(&self, customer: &CustomerId, class: LengthClass, wait: Duration) {
        self.queue_wait.record(
            wait.as_secs_f64(),
            &self.customer_and_class_labels(customer, class),
        );
    }

    /// Counts the end of a request, and for a failed request the one-word reason. Failures are
    /// counted by reason but not by customer, since both labels together would multiply the number
    /// of series.
    pub fn count_outcome(
        &self,
        customer: &CustomerId,
        class: LengthClass,
        outcome: Outcome,
        reason: &'static str,
    ) {
        let [customer, class] = self.customer_and_class_labels(customer, class);
        let outcome_label = KeyValue::new("outcome", outcome.name());
        self.requests
            .add(1, &[customer, class.clone(), outcome_label.clone()]);
        if outcome != Outcome::Completed {
            let reason = KeyValue::new("reason", reason);
            self.failures.add(1, &[class, outcome_label, reason]);
        }
    }

    /// Counts a retry by the reason for which the previous attempt failed.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Adds `change`, which is 1 or -1, to the number of requests in flight.
    pub fn add_in_flight(&self, class: LengthClass, change: i64) {
        self.in_flight
            .add(change, &[KeyValue::new("class", class.name())]);
    }

    /// Renders all metrics in the Prometheus text format. The counts of the cluster view and of the
    /// host's components are those of the latest calls of [`Self::update_cluster_counts`] and
    /// [`Self::update_host_counts`].
    pub fn render(&self) -> Result<String, ObserveError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    /// Returns the labels for a customer and a length class. A customer that the manifest does not
    /// list gets the label `default`.
    fn customer_and_class_labels(
        &self,
        customer: &CustomerId,
        class: LengthClass,
    ) -> [KeyValue; 2] {
        let customers = self
            .customers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let name = customers.get(customer).cloned();
        let name = name.unwrap_or_else(|| StringValue::from("default"));
        [
            KeyValue::new("customer", name),
            KeyValue::new("class", class.name()),
        ]
    }
}

/// Returns a view that raises the maximum number of series per metric to [`SERIES_MAX`]. With the
/// library's default of 2,000, most of 670 customers would share the overflow series.
fn with_series_limit(_: &Instrument) -> Option<Stream> {
    Stream::builder()
        .with_cardinality_limit(SERIES_MAX)
        .build()
        .ok()
}
