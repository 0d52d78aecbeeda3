//! When engines end under a request that crashes them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// XORed with the seed of the run for the draw of the point.
const POINTS_SEED_MASK: u64 = 0x00C4_A54A;

/// How far an engine comes with the answer to a request that crashes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// The engine sends nothing.
    Unanswered,
    /// The engine sends nothing for a while, in which further requests arrive.
    UnansweredLate,
    /// The engine sends the head of the response.
    Head,
    /// The engine sends the head and the first half of an event.
    HalfEvent,
    /// The engine sends the head and one event.
    Event,
    /// The engine sends the head and several events.
    Events,
}

impl CrashPoint {
    /// All points.
    pub const ALL: [Self; 6] = [
        Self::Unanswered,
        Self::UnansweredLate,
        Self::Head,
        Self::HalfEvent,
        Self::Event,
        Self::Events,
    ];

    /// The point that a seed draws. It is the same for all requests of a run: those that crash engines
    /// at one point would reveal the others.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ POINTS_SEED_MASK);
        let point = Self::ALL[rng.random_range(0..Self::ALL.len() - 1)];
        if rng.random_ratio(1, 6) {
            Self::Events
        } else {
            point
        }
    }

    /// The name on the command line and in the ids of requests.
    fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::UnansweredLate => "late",
            Self::Head => "head",
            Self::HalfEvent => "half",
            Self::Event => "event",
            Self::Events => "events",
        }
    }

    /// How long the engine runs before it ends without an answer; none if it answers.
    pub(crate) fn unanswered_for(self) -> Option<Duration> {
        match self {
            Self::Unanswered => Some(Duration::ZERO),
            Self::UnansweredLate => Some(Duration::from_millis(1_500)),
            Self::Head | Self::HalfEvent | Self::Event | Self::Events => None,
        }
    }
}

impl fmt::Display for CrashPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for CrashPoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|point| point.name() == text);
        found.ok_or_else(|| format!("no crash point: {text}"))
    }
}
