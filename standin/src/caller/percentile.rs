//! Percentiles of exact samples.

use std::time::Duration;

/// The value that `percent` of the samples do not exceed, in milliseconds; none without samples.
pub fn percentile_ms(samples: &[Duration], percent: f64) -> Option<f64> {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    let exact = percent / 100.0 * last as f64;
    let at = (0..=last).find(|at| *at as f64 >= exact).unwrap_or(last);
    Some(sorted[at].as_secs_f64() * 1_000.0)
}

/// A value in milliseconds, or a dash.
pub fn show_ms(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.0}"))
}
