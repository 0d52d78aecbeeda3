//! The machine's clock.

use std::time::Instant;
use std::time::SystemTime;

use crate::clock::Clock;

/// The machine's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
