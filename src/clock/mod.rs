//! The clock as a trait, so that tests can control the time.

mod manual;
mod system;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub use manual::ManualClock;
pub use system::SystemClock;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time, on which all deadlines and ages are measured.
    fn now(&self) -> Instant;

    /// Time since the machine booted, including the time for which it was suspended. Leases are
    /// measured on this clock. By [`Clock::now`], which may stop during suspension, a machine that
    /// was suspended past the end of its lease would go on using the lease.
    fn since_boot(&self) -> Duration;

    /// The time of day, for logs, people, and what outlives the process. The clocks of hosts differ,
    /// so nothing that must be exact to seconds is measured on it.
    fn wall(&self) -> SystemTime;
}
