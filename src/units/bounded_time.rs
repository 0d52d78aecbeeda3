//! Durations from numbers that may be out of range.
//!
//! The conversions of the standard library panic or fail on numbers that are negative, not finite or
//! too large, and so does adding a long duration to a time. Numbers from outside are out of range
//! sooner or later.

use std::time::Duration;

/// The longest duration, about a thousand years. Sums and small multiples of it can still be added to
/// any time.
pub const DURATION_MAX: Duration = Duration::from_secs(1_000 * 365 * 24 * 3_600);

/// The duration of this many seconds: zero if the number is negative, and [`DURATION_MAX`] if it is
/// larger or not a number.
pub fn seconds(seconds: f64) -> Duration {
    let in_range = seconds.clamp(0.0, DURATION_MAX.as_secs_f64());
    #[expect(
        clippy::disallowed_methods,
        reason = "fails only if it is not a number"
    )]
    let time = Duration::try_from_secs_f64(in_range);
    time.unwrap_or(DURATION_MAX)
}

/// The duration of this many milliseconds, in the same way.
pub fn milliseconds(ms: f64) -> Duration {
    seconds(ms / 1e3)
}

/// Arithmetic on durations that does not panic.
pub trait BoundedTime {
    /// The duration multiplied by a factor: zero if the factor is negative, and [`DURATION_MAX`] if
    /// the result is larger or not a number.
    #[must_use]
    fn scaled(self, factor: f64) -> Self;
}

impl BoundedTime for Duration {
    fn scaled(self, factor: f64) -> Self {
        seconds(self.as_secs_f64() * factor)
    }
}
