//! Percentiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns the value, in milliseconds, that `percent` of the samples do not exceed; `None` without
/// samples.
pub fn percentile_ms(samples: &[Duration], percent: f64) -> Option<f64> {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).ok()?;
    for sample in samples {
        let sample_us = u64::try_from(sample.as_micros()).ok()?;
        histogram.record(sample_us).ok()?;
    }
    if histogram.is_empty() {
        return None;
    }
    Some(histogram.value_at_percentile(percent) as f64 / 1_000.0)
}

/// Formats a value in milliseconds without decimals; `-` for `None`.
pub fn format_ms(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.0}"))
}
