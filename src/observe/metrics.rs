//! Metrics by opentelemetry, shown in the Prometheus text format.
//!
//! Times are kept by customer and length class. The number of series is bounded: customers that the
//! manifest does not name count as `default`, so that callers cannot make series up, and beyond
//! [`SERIES_MAX`] the library puts what is new into one overflow series.

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

/// 670 customers in 4 classes and 3 outcomes are 8,040 series of one metric.
const SERIES_MAX: usize = 10_000;

/// Seconds. 1.8 is the aim for 95 in 100 first tokens, so it is a bound of its own; the longest
/// prompts take minutes.
const FIRST_TOKEN_BOUNDS: [f64; 15] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0,
];
/// Seconds. 0.047 is the aim for 95 in 100 gaps between tokens.
const BETWEEN_TOKENS_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.03, 0.04, 0.047, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
];
/// Seconds.
const QUEUE_WAIT_BOUNDS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 30.0, 300.0,
];

/// The metrics of one host.
pub struct Metrics {
    registry: Registry,
    // The instruments go quiet when their provider is dropped.
    _provider: SdkMeterProvider,
    customers: RwLock<IndexMap<CustomerId, StringValue>>,
    board: Arc<LatestCounts>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    requests: Counter<u64>,
    failures: Counter<u64>,
    retries: Counter<u64>,
    in_flight: UpDownCounter<i64>,
}

impl Metrics {
    /// Sets up all metrics in a registry of their own.
    pub fn new() -> Result<Self, ObserveError> {
        let registry = Registry::new();
        let exporter = prometheus_exporter(&registry)?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(series_bound)
            .build();
        let meter = provider.meter("banyanarch");
        let board = Arc::new(LatestCounts::default());
        gauges::register_cluster_gauges(&meter, &board);
        gauges::register_host_instruments(&meter, &board);
        gauges::register_pool_gauges(&meter, &board);
        let metrics = Self {
            registry,
            customers: RwLock::default(),
            board,
            first_token: seconds_histogram(&meter, "time_to_first_token", &FIRST_TOKEN_BOUNDS),
            between_tokens: seconds_histogram(
                &meter,
                "time_between_tokens",
                &BETWEEN_TOKENS_BOUNDS,
            ),
            queue_wait: seconds_histogram(&meter, "queue_wait", &QUEUE_WAIT_BOUNDS),
            requests: meter.u64_counter("requests").build(),
            failures: meter.u64_counter("failures").build(),
            retries: meter.u64_counter("retries").build(),
            in_flight: meter.i64_up_down_counter("in_flight").build(),
            _provider: provider,
        };
        Ok(metrics)
    }

    /// Takes in what the cluster view holds: the customers of the manifest in force, which get series, and
    /// the counts of hosts and upstreams. To be called often, such as each second.
    pub fn update_cluster_counts(&self, board: &ClusterView) {
        let before = self.board.latest().generation;
        self.board.count(board);
        if let Some(in_force) = board.manifest()
            && before != Some(in_force.generation)
        {
            self.set_customers(&in_force.manifest);
        }
    }

    /// Takes in what the host's parts count, right before metrics are rendered.
    pub fn update_host_counts(&self, counts: HostCounts) {
        self.board.set_counts(counts);
    }

    /// Takes the customers of a manifest as the ones that get series.
    pub fn set_customers(&self, manifest: &Manifest) {
        let label = |name: &CustomerId| StringValue::from(Arc::<str>::from(name.as_str()));
        let names = manifest.customers.iter().map(|customer| &customer.name);
        let customers = names.map(|name| (name.clone(), label(name))).collect();
        let mut known = self
            .customers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *known = customers;
    }

    /// From a request's first byte to the first token of its answer.
    pub fn record_first_token(&self, customer: &CustomerId, class: LengthClass, took: Duration) {
        self.first_token
            .record(took.as_secs_f64(), &self.labels(customer, class));
    }

    /// Between two tokens of an answer.
    pub fn record_token_gap(&self, customer: &CustomerId, class: LengthClass, took: Duration) {
        self.between_tokens
            .record(took.as_secs_f64(), &self.labels(customer, class));
    }

    /// How long a granted request waited at its home.
    pub fn record_queue_wait(&self, customer: &CustomerId, class: LengthClass, took: Duration) {
        self.queue_wait
            .record(took.as_secs_f64(), &self.labels(customer, class));
    }

    /// The end of a request, with the reason as one word. Reasons are counted apart from customers,
    /// or the series would multiply.
    pub fn count_outcome(
        &self,
        customer: &CustomerId,
        class: LengthClass,
        outcome: Outcome,
        reason: &'static str,
    ) {
        let [customer, class] = self.labels(customer, class);
        let outcome_label = KeyValue::new("outcome", outcome.name());
        self.requests
            .add(1, &[customer, class.clone(), outcome_label.clone()]);
        if outcome != Outcome::Completed {
            let reason = KeyValue::new("reason", reason);
            self.failures.add(1, &[class, outcome_label, reason]);
        }
    }

    /// An attempt after the first, with what the earlier one failed of.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// A change of the number of requests that have not ended: +1 or -1.
    pub fn add_in_flight(&self, class: LengthClass, change: i64) {
        self.in_flight
            .add(change, &[KeyValue::new("class", class.name())]);
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, ObserveError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    fn labels(&self, customer: &CustomerId, class: LengthClass) -> [KeyValue; 2] {
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

/// Without it the library's own bound of 2,000 would put most of 670 customers into one series.
fn series_bound(_: &Instrument) -> Option<Stream> {
    Stream::builder()
        .with_cardinality_limit(SERIES_MAX)
        .build()
        .ok()
}
