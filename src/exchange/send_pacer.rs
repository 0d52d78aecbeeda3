//! The pacing of a host's messages.

use std::time::Duration;
use std::time::Instant;

/// The minimum interval between two messages. Two hosts that decide within this interval can choose
/// the same upstream, which has little effect because a pass of an engine takes longer.
const INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Number of messages with urgent changes that may be sent in a burst at the minimum interval,
/// while the average rate stays within the limit for the size of the fleet. In a fleet of 70, a
/// host gets a few requests a second, so most of them can be sent at once.
const URGENT_BURST: u32 = 3;
/// The part of the interval that each peer adds. It bounds the messages that a host of a large
/// fleet receives to 400 a second, which take a few hundredths of a core.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(2_500);
/// The interval of messages of a host without changes. Peers treat a host as dead when it is
/// silent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum interval in a large fleet. With a longer one, peers would treat a host that only
/// waits for its next slot as dead. Above 200 hosts, the number of messages grows with the fleet
/// again.
const INTERVAL_MAX: Duration = Duration::from_millis(500);

/// The reason for the next message, in ascending order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendReason {
    /// The host only shows that it is alive.
    Heartbeat,
    /// The host has a change to send at the regular interval.
    Change,
    /// The host has a change to send as soon as the burst limit allows.
    UrgentChange,
}

/// Paces the messages of one host.
#[derive(Clone, Debug)]
pub struct SendPacer {
    sent_at: Instant,
    /// When the next change would be due if all changes had been sent at regular intervals.
    next_paced_at: Instant,
    reason: SendReason,
}

impl SendPacer {
    /// Creates the pacer of a host that starts now. Its first message is due after one interval.
    pub fn new(now: Instant) -> Self {
        Self {
            sent_at: now,
            next_paced_at: now,
            reason: SendReason::Change,
        }
    }

    /// The reason for the next message.
    pub fn reason(&self) -> SendReason {
        self.reason
    }

    /// Requests that a message is sent for the given reason. The most urgent reason requested since
    /// the last message applies.
    pub fn request_send(&mut self, reason: SendReason) {
        self.reason = self.reason.max(reason);
    }

    /// When the next message is due if changes are sent at the given interval.
    pub fn due_at(&self, interval: Duration) -> Instant {
        match self.reason {
            SendReason::Heartbeat => self.sent_at + HEARTBEAT_INTERVAL,
            SendReason::Change => self.sent_at + interval,
            SendReason::UrgentChange => self
                .next_paced_at
                .checked_sub(interval * URGENT_BURST)
                .unwrap_or(self.sent_at)
                .max(self.sent_at + INTERVAL_MIN)
                // An urgent change never waits longer than a regular one, even right after the
                // fleet has shrunk.
                .min(self.sent_at + interval),
        }
    }

    /// Records that a message has been sent.
    ///
    /// Heartbeats must not advance `next_paced_at`. If they counted as changes, `next_paced_at`
    /// would run ever further ahead of the clock in fleets of more than a hundred hosts, where the
    /// interval is longer than that of heartbeats. After 15 idle seconds, the first urgent change
    /// would wait for seven seconds while nothing else is sent, and peers would treat the host as
    /// dead as soon as it has load.
    pub fn on_sent(&mut self, interval: Duration, now: Instant) {
        if self.reason > SendReason::Heartbeat {
            self.next_paced_at = self.next_paced_at.max(now) + interval;
        }
        self.sent_at = now;
        self.reason = SendReason::Heartbeat;
    }
}

/// The interval between two messages of a host that sends its updates to `peers` hosts.
pub fn update_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST
        .saturating_mul(peers)
        .clamp(INTERVAL_MIN, INTERVAL_MAX)
}
