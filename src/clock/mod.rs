//! The clock as an interface, so that decisions can be tested by moving time by hand.

mod manual;
mod system;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub use manual::ManualClock;
pub use system::SystemClock;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time; all deadlines and ages are measured on it.
    fn now(&self) -> Instant;

    /// Time since the machine started, time spent suspended included. Leases are counted on it: on
    /// [`Clock::now`] a machine that was suspended past the end of its lease would go on using it.
    fn since_boot(&self) -> Duration;

    /// Time of day, for logs and for people only: hosts' clocks differ.
    fn wall(&self) -> SystemTime;
}
