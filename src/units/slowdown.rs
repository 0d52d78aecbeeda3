//! The slowdown of an engine relative to its performance model.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::units::ParseUnitError;
use crate::units::seconds;

/// The factor by which an engine takes longer than its model predicts, at least 1; 1 at full speed.
/// Written as a number followed by `x`, such as `3.5x`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// The slowdown of an engine at full speed.
    pub const NONE: Self = Self(1.0);

    /// The largest slowdown. An engine that is this slow gets no requests while there is another.
    pub const MAX: Self = Self(1e4);

    /// Creates a slowdown, at most [`Slowdown::MAX`]. Factors below 1 count as 1: an engine that seemed
    /// faster than its model would attract all requests. Factors that are not finite count as 1 too.
    pub fn new(factor: f64) -> Self {
        Self(if factor.is_finite() {
            factor.clamp(1.0, Self::MAX.0)
        } else {
            1.0
        })
    }

    /// The factor, at least 1.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// The time that the engine takes for work that the model predicts to take `time`.
    pub fn scale(self, time: Duration) -> Duration {
        if self == Self::NONE {
            return time;
        }
        seconds(time.as_secs_f64() * self.0)
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x", self.0)
    }
}

impl FromStr for Slowdown {
    type Err = ParseUnitError;

    /// Parses a number from 1 to [`Slowdown::MAX`] that is followed by `x`, such as `3.5x`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text
            .strip_suffix('x')
            .and_then(|number| number.parse().ok());
        match number {
            Some(number) if (1.0..=Self::MAX.0).contains(&number) => Ok(Self(number)),
            _ => Err(ParseUnitError::new("a factor like 3.5x", text)),
        }
    }
}
