//! Durations as whole milliseconds, for logs and messages.

use std::time::Duration;

/// The whole milliseconds of a duration, capped at `u64::MAX`.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The whole microseconds of a duration, capped at `u64::MAX`.
pub fn whole_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// The whole milliseconds of a duration, capped at `u32::MAX`, for 32-bit message fields.
pub fn whole_millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
