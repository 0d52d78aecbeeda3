//! When a host's next message is due.

use std::time::Duration;
use std::time::Instant;

/// The shortest time between two messages. Two hosts that decide within it can choose the same
/// upstream; the engines' passes, which take longer, even that out.
const INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Messages with urgent changes that may follow each other at the shortest interval, while the host's
/// messages on the whole stay as rare as the size of the fleet asks. A host of a fleet of 70 gets a few
/// requests a second, so most of them can be told at once.
const URGENT_BURST: u32 = 3;
/// What each further host adds to the interval, so that a host of a large fleet receives at most
/// 400 messages a second, some hundredths of a core.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(2_500);
/// A message is due this often even if nothing has changed; silence tells the others that a host is
/// gone.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval of a large fleet. Beyond it the others would take a host for gone that only
/// waits for its turn; from 200 hosts on the messages grow with the fleet again.
const INTERVAL_MAX: Duration = Duration::from_millis(500);

/// What the next message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendReason {
    /// To show that this host is alive.
    Heartbeat,
    /// To tell a change when it is this host's turn.
    Change,
    /// To tell a change at once.
    UrgentChange,
}

/// The pace of one host's messages.
#[derive(Clone, Debug)]
pub struct SendPacer {
    sent_at: Instant,
    /// When the next change would be due if all had come at even intervals.
    next_paced_at: Instant,
    reason: SendReason,
}

impl SendPacer {
    /// The pace of a host that starts now; its first message is due after one interval.
    pub fn new(now: Instant) -> Self {
        Self {
            sent_at: now,
            next_paced_at: now,
            reason: SendReason::Change,
        }
    }

    /// What the next message is for.
    pub fn reason(&self) -> SendReason {
        self.reason
    }

    /// Takes in that there is something to tell.
    pub fn request_send(&mut self, reason: SendReason) {
        self.reason = self.reason.max(reason);
    }

    /// When the next message is due, where changes are told at this interval.
    pub fn due_at(&self, interval: Duration) -> Instant {
        match self.reason {
            SendReason::Heartbeat => self.sent_at + HEARTBEAT_INTERVAL,
            SendReason::Change => self.sent_at + interval,
            SendReason::UrgentChange => self
                .next_paced_at
                .checked_sub(interval * URGENT_BURST)
                .unwrap_or(self.sent_at)
                .max(self.sent_at + INTERVAL_MIN)
                // No urgent change waits longer than another one, also right after the fleet has shrunk.
                .min(self.sent_at + interval),
        }
    }

    /// Takes in that a message has gone out.
    ///
    /// Failure it guards against: signs of life that counted as changes put `even_at` ever further
    /// ahead of the clock where the interval is longer than theirs, in fleets of more than a hundred
    /// hosts. After an idle quarter of a minute the first urgent change waited for seven seconds, and
    /// nothing else was sent meanwhile, so the others took the host for dead as soon as it had work.
    pub fn on_sent(&mut self, interval: Duration, now: Instant) {
        if self.reason > SendReason::Heartbeat {
            self.next_paced_at = self.next_paced_at.max(now) + interval;
        }
        self.sent_at = now;
        self.reason = SendReason::Heartbeat;
    }
}

/// The time between two messages of a host that tells `peers` other hosts itself.
pub fn update_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST
        .saturating_mul(peers)
        .clamp(INTERVAL_MIN, INTERVAL_MAX)
}
