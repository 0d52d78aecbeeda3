//! Helpers to build instruments, shared by all sets of metrics.

use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry_prometheus::PrometheusExporter;
use prometheus::Registry;

use crate::observe::ObserveError;

/// Builds an exporter of the metrics in `registry`, with names that start with `banyanarch_`.
pub(crate) fn prometheus_exporter(registry: &Registry) -> Result<PrometheusExporter, ObserveError> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .with_namespace("banyanarch")
        .without_target_info()
        .scope_info_enabled(false)
        .build()?;
    Ok(exporter)
}

/// Builds a histogram of durations in seconds.
pub(crate) fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram.with_boundaries(bounds.to_vec()).build()
}
