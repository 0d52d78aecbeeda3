//! When engines end under a request that crashes them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// XORed with the seed of the run for the draw of the point.
const POINTS_SEED_MASK: u64 = 0x00C4_A54A;
/// How long after the arrival of a request the engine ends that has answered it. Streams take half a
/// second.
const ANSWERED_FOR: Duration = Duration::from_millis(900);
/// How long after any other end of a call the engine ends.
const ENDED_FOR: Duration = Duration::from_millis(400);
/// When the callers of [`CrashPoint::Abandoned`] leave.
const ABANDONED_AFTER: Duration = Duration::from_millis(200);

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
    /// The engine sends the whole answer and ends some time later.
    Answered,
    /// The engine answers with a failure and ends some time later.
    Failed,
    /// The engine sends an answer that belongs to another request and ends some time later.
    Invalid,
    /// The engine sends nothing, and ends some time after the caller has left.
    Abandoned,
    /// The engine sends nothing, and ends some time after the deadline.
    Overdue,
}

impl CrashPoint {
    /// The points at which the call is under way.
    const IN_CALL: [Self; 6] = [
        Self::Unanswered,
        Self::UnansweredLate,
        Self::Head,
        Self::HalfEvent,
        Self::Event,
        Self::Events,
    ];
    /// The points at which the call has ended.
    const AFTER_CALL: [Self; 5] = [
        Self::Answered,
        Self::Failed,
        Self::Invalid,
        Self::Abandoned,
        Self::Overdue,
    ];

    /// The point that a seed draws. It is the same for all requests of a run: those that crash engines
    /// at one point would reveal the others.
    pub(crate) fn draw(seed: u64, is_after_call: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ POINTS_SEED_MASK);
        if is_after_call {
            return Self::AFTER_CALL[rng.random_range(0..Self::AFTER_CALL.len())];
        }
        let point = Self::IN_CALL[rng.random_range(0..Self::IN_CALL.len() - 1)];
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
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Abandoned => "abandoned",
            Self::Overdue => "overdue",
        }
    }

    /// How long the engine runs before it ends without an answer; none if it answers.
    pub(crate) fn unanswered_for(self) -> Option<Duration> {
        match self {
            Self::Unanswered => Some(Duration::ZERO),
            Self::UnansweredLate => Some(Duration::from_millis(1_500)),
            _ => None,
        }
    }

    /// How long after the arrival of a request with this timeout the engine ends, if the call has ended
    /// by then; none if the call is still under way.
    pub(crate) fn ends_after(self, timeout: Duration) -> Option<Duration> {
        match self {
            Self::Answered => Some(ANSWERED_FOR),
            Self::Failed | Self::Invalid => Some(ENDED_FOR),
            Self::Abandoned => Some(ABANDONED_AFTER + ENDED_FOR),
            Self::Overdue => Some(timeout + ENDED_FOR),
            _ => None,
        }
    }

    /// The point for an answer of a plain service, which is no stream: the upstream sends nothing where
    /// an engine ends in the middle of its stream.
    pub(crate) fn of_plain_answer(self) -> Self {
        if self.is_in_stream() {
            Self::Unanswered
        } else {
            self
        }
    }

    /// Whether the engine ends in the middle of the stream.
    pub(crate) fn is_in_stream(self) -> bool {
        matches!(
            self,
            Self::Head | Self::HalfEvent | Self::Event | Self::Events
        )
    }

    /// Whether the engine sends nothing until it ends.
    pub(crate) fn is_silent(self) -> bool {
        matches!(self, Self::Abandoned | Self::Overdue)
    }

    /// When the caller leaves; none if it stays.
    pub(crate) fn abandoned_after(self) -> Option<Duration> {
        (self == Self::Abandoned).then_some(ABANDONED_AFTER)
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
        let mut all = Self::IN_CALL.into_iter().chain(Self::AFTER_CALL);
        let found = all.find(|point| point.name() == text);
        found.ok_or_else(|| format!("no crash point: {text}"))
    }
}
