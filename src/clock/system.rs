//! The clock of the machine.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::clock::Clock;

/// The clock of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            // Linux has had this clock since 2.6.39. Without it, every lease counts as expired,
            // which refuses requests but breaks no guarantee.
            Err(_) => Duration::MAX,
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
