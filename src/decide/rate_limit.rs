//! How many more requests may be sent to an upstream that has named a rate limit.
//!
//! An upstream short of capacity names the requests per second that it accepts from all hosts
//! together. Divided evenly, the limit would allow each of 195 hosts one request in two minutes, or
//! a burst of 195 requests. Hosts therefore report to each other what they have sent to the
//! upstream, and each sends while the sum is below the limit.

use std::time::Duration;

use crate::decide::HostCoverage;
use crate::units::RequestsPerSecond;
use crate::units::seconds;

/// The window over which a limit is enforced.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// A shorter window over which the limit is enforced too, rounded up to whole requests, so that the
/// requests of a whole window are not sent at once.
pub const LIMIT_BURST_WINDOW: Duration = Duration::from_secs(1);
/// The requests allowed in a window however low the limit is, because only an answer shows that the
/// limit has ended.
const REQUESTS_IN_WINDOW_MIN: f64 = 1.0;
/// The minimum of [`RateLimitView::opens_in`] while the limit allows no request.
const WAIT_MIN: Duration = Duration::from_millis(20);

/// The numbers of requests sent to an upstream within the two windows over which its rate limit is
/// enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentSends {
    /// Requests sent within [`LIMIT_WINDOW`].
    pub in_window: u32,
    /// Requests sent within [`LIMIT_BURST_WINDOW`].
    pub in_burst_window: u32,
}

impl RecentSends {
    /// Adds the requests of another sender.
    pub fn combined_with(self, other: Self) -> Self {
        Self {
            in_window: self.in_window.saturating_add(other.in_window),
            in_burst_window: self.in_burst_window.saturating_add(other.in_burst_window),
        }
    }
}

/// What one host knows about an upstream that has a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitView {
    /// The rate limit.
    pub limit: RequestsPerSecond,
    /// Whether the limit is that of cold upstreams.
    pub is_cold: bool,
    /// The requests sent to the upstream by this host and all hosts that it hears.
    pub sent: RecentSends,
    /// Requests that this host has sent within [`Self::update_age_max`], of which other hosts may not
    /// know yet.
    pub own_unreported: u32,
    /// How long the limit has allowed another request, as far as this host knows; none if the limit
    /// allows no request now.
    pub open_for: Option<Duration>,
    /// The numbers of hosts that share the limit.
    pub hosts: HostCoverage,
    /// Time since the start of this host.
    pub uptime: Duration,
    /// The maximum age of reports about what other hosts have sent.
    pub update_age_max: Duration,
}

impl RateLimitView {
    /// Whether the limit allows another request.
    pub fn is_open(&self) -> bool {
        self.remaining() >= 1.0
    }

    /// The estimated time until the limit allows another request; zero if it allows one now.
    pub fn opens_in(&self) -> Duration {
        if self.is_open() {
            return Duration::ZERO;
        }
        let wait = seconds((1.0 - self.remaining()) / self.reachable_rate());
        wait.clamp(WAIT_MIN, LIMIT_WINDOW)
    }

    /// Whether this host sends another request. `draw` is uniformly distributed over 0 to 1.
    ///
    /// When a limit allows another request, each of two hundred hosts could send one before it
    /// hears of the others, and when it allows many, each of six hosts could send them all. A host
    /// therefore starts with its even share of what the limit allows, less what it has sent and the
    /// others may not know, as the expected number of its requests. The share doubles for each
    /// maximum report age for which the limit has allowed another request. However many requests
    /// wait, only about one more is sent before the report of the first arrives.
    pub fn admits(&self, draw: f64) -> bool {
        let Some(open_for) = self.open_for else {
            return false;
        };
        let doublings =
            open_for.as_secs_f64() / self.update_age_max.as_secs_f64().max(f64::EPSILON);
        let unreported = f64::from(self.own_unreported);
        let even_share = (self.remaining() + unreported) / self.hosts.heard.max(1) as f64;
        draw < even_share * doublings.exp2() - unreported
    }

    /// One host's even share of the limit, in requests per second.
    pub fn host_share_per_s(&self) -> f64 {
        self.limit.0 / self.hosts.listed.max(1) as f64
    }

    /// The share of the limit, in requests per second, of this host and the hosts that it hears.
    /// Hosts that cannot hear each other divide the limit, so that together they stay within it.
    fn reachable_rate(&self) -> f64 {
        self.limit.0 * self.hosts.heard_fraction()
    }

    /// The number of requests that may still be sent now.
    fn remaining(&self) -> f64 {
        let in_window = self.allowed_in(LIMIT_WINDOW) - f64::from(self.sent.in_window);
        let in_burst =
            self.allowed_in(LIMIT_BURST_WINDOW).ceil() - f64::from(self.sent.in_burst_window);
        in_window.min(in_burst)
    }

    /// The number of requests that the limit allows within `window`. Other hosts report what they
    /// have sent; this host is assumed to have sent its even share before it was restarted.
    fn allowed_in(&self, window: Duration) -> f64 {
        let observed = self.uptime.min(window);
        let presumed = self.host_share_per_s() * (window - observed).as_secs_f64();
        let allowed = self.reachable_rate() * window.as_secs_f64();
        allowed.max(REQUESTS_IN_WINDOW_MIN) - presumed
    }
}
