//! How many requests an upstream that has named a limit may still get.
//!
//! Load it answers: an upstream in need names the requests a second that it takes from all hosts together.
//! Shared out evenly, the limit allows each of 195 hosts one request in two minutes, or a burst of 195. So
//! hosts tell each other what they have sent there, and each sends while the sum is below the limit.

use std::time::Duration;

use crate::decide::HostCoverage;
use crate::units::RequestsPerSecond;

/// The time over which a limit is kept.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The time over which it is kept as well, rounded up, so that a window's requests don't come at once.
pub const LIMIT_BURST_WINDOW: Duration = Duration::from_secs(1);
/// An upstream gets a request in this time whatever its limit is: only an answer tells that the limit has ended.
const LEAST_IN_WINDOW: f64 = 1.0;
/// The shortest wait for a limit to allow one more request.
const WAIT_MIN: Duration = Duration::from_millis(20);

/// Requests that an upstream got lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentLately {
    /// Within [`LIMIT_WINDOW`].
    pub in_window: u32,
    /// Within [`LIMIT_BURST_WINDOW`].
    pub in_burst_window: u32,
}

impl SentLately {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            in_window: self.in_window.saturating_add(other.in_window),
            in_burst_window: self.in_burst_window.saturating_add(other.in_burst_window),
        }
    }
}

/// What one host knows of an upstream that has named a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitView {
    /// The limit.
    pub limit: RequestsPerSecond,
    /// What all hosts that are heard have sent there.
    pub sent: SentLately,
    /// How long the limit has allowed one more request, as far as this host knows; none if it doesn't.
    pub open_for: Option<Duration>,
    /// The hosts that share the limit.
    pub hosts: HostCoverage,
    /// The time since this host was started.
    pub runs_for: Duration,
    /// How old the news of what others have sent may be.
    pub news_age: Duration,
}

impl RateLimitView {
    /// Whether the limit allows one more request.
    pub fn is_open(&self) -> bool {
        self.free() >= 1.0
    }

    /// Time until one more request may be sent; zero if one may be sent now.
    pub fn opens_in(&self) -> Duration {
        if self.is_open() {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64((1.0 - self.free()) / self.rate());
        wait.unwrap_or(LIMIT_WINDOW).clamp(WAIT_MIN, LIMIT_WINDOW)
    }

    /// Whether this host sends one more request. `draw` is even over 0 to 1.
    ///
    /// Failure it guards against: the limit allows one more request, and each of two hundred hosts sends it before
    /// it hears of the others. The chance is that of one host in all at first, and doubles for as long as nothing
    /// is heard of a send: however many requests wait, about one is sent unseen beside the first.
    pub fn admits(&self, draw: f64) -> bool {
        let Some(open_for) = self.open_for else {
            return false;
        };
        let doublings = open_for.as_secs_f64() / self.news_age.as_secs_f64().max(f64::EPSILON);
        let even_chance = self.free() / self.hosts.heard.max(1) as f64;
        draw < even_chance * doublings.exp2()
    }

    /// One host's even part of the limit.
    pub fn rate_of_one(&self) -> f64 {
        self.limit.0 / self.hosts.listed.max(1) as f64
    }

    /// This host's part of the rate and of those that it hears. Hosts that can't hear each other keep the limit
    /// together.
    fn rate(&self) -> f64 {
        self.limit.0 * self.hosts.heard_fraction()
    }

    /// Requests that may still be sent now.
    fn free(&self) -> f64 {
        let in_window = self.allowed_in(LIMIT_WINDOW) - f64::from(self.sent.in_window);
        let in_burst =
            self.allowed_in(LIMIT_BURST_WINDOW).ceil() - f64::from(self.sent.in_burst_window);
        in_window.min(in_burst)
    }

    /// What the limit allows in this time. Others tell what they have sent; what this host may have sent before it
    /// was started again counts as its even part.
    fn allowed_in(&self, window: Duration) -> f64 {
        let known_for = self.runs_for.min(window);
        let forgotten = self.rate_of_one() * (window - known_for).as_secs_f64();
        let allowed = self.rate() * window.as_secs_f64();
        allowed.max(LEAST_IN_WINDOW) - forgotten
    }
}
