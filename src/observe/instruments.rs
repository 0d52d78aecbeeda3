//! What all sets of metrics have in common.

use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry_prometheus::PrometheusExporter;
use prometheus::Registry;

use crate::observe::ObserveError;

/// Shows the metrics of one registry under the system's name.
pub(crate) fn prometheus_exporter(registry: &Registry) -> Result<PrometheusExporter, ObserveError> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .with_namespace("banyanarch")
        .without_target_info()
        .scope_info_enabled(false)
        .build()?;
    Ok(exporter)
}

/// A histogram of times in seconds.
pub(crate) fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_unit("s");
    histogram.with_boundaries(bounds.to_vec()).build()
}
