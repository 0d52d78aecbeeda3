//! What to do with a request that wants engines.

use std::time::Duration;
use std::time::Instant;

use crate::decide::EngineModel;
use crate::decide::HelpsUntil;
use crate::decide::LoadShare;
use crate::decide::RefuseReason;
use crate::decide::engines::EngineAsk;
use crate::decide::engines::PromptClass;
use crate::decide::engines::Reserve;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The shortest wait before a decision is made again: less would be awake more than it helps.
const WAIT_MIN: Duration = Duration::from_millis(15);
/// The longest wait: other hosts' work changes meanwhile.
const WAIT_MAX: Duration = Duration::from_millis(120);
/// The shortest time after which a caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// Engines for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine that gets the request and writes the answer.
    pub leader: UpstreamId,
    /// The engines that read the other parts.
    pub helpers: Vec<UpstreamId>,
    /// Memory that is set aside before the prompt is sent, first the leader's.
    pub reserves: Vec<Reserve>,
    /// Engine time of one part.
    pub part_time: Duration,
    /// When the first event is expected, from now.
    pub forecast: Duration,
}

impl EnginePlan {
    /// The memory that an engine sets aside.
    pub fn reserve(&self, engine: &UpstreamId) -> Option<&Reserve> {
        self.reserves
            .iter()
            .find(|reserve| reserve.engine == *engine)
    }

    /// What the request adds to each engine's load, first the leader's. Its caller accepts `pause`
    /// between two events.
    pub fn shares(
        &self,
        model: &EngineModel,
        ask: &EngineAsk,
        pause: Option<Duration>,
        now: Instant,
    ) -> Vec<(UpstreamId, LoadShare)> {
        let held = |engine| self.reserve(engine).map(|reserve| reserve.tokens);
        let leader = LoadShare {
            takes_place: true,
            is_short: ask.class(model) == PromptClass::Short,
            pause,
            read_time: self.part_time,
            held_tokens: held(&self.leader).unwrap_or_else(|| ask.needed()),
            helps: None,
            prefill_due: (ask.class(model) != PromptClass::Short).then(|| now + ask.objective_left),
        };
        let helpers = self.helpers.iter().map(|id| {
            let share = LoadShare {
                takes_place: false,
                held_tokens: held(id).unwrap_or(Tokens::ZERO),
                helps: Some(match held(id) {
                    Some(_) => HelpsUntil::Ended,
                    None => HelpsUntil::Read,
                }),
                ..leader
            };
            (id.clone(), share)
        });
        let mut shares = vec![(self.leader.clone(), leader)];
        shares.extend(helpers);
        shares
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineChoice {
    /// Send it.
    Send(EnginePlan),
    /// Ask again after this time.
    Wait(Duration),
    /// Turn it away, not run.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When it can be served, as far as is known.
        retry_after: Duration,
    },
}

impl EngineChoice {
    pub(super) fn wait(wanted: Duration) -> Self {
        Self::Wait(wanted.clamp(WAIT_MIN, WAIT_MAX))
    }

    pub(super) fn refuse(reason: RefuseReason, retry_after: Duration) -> Self {
        Self::Refuse {
            reason,
            retry_after: retry_after.max(RETRY_AFTER_MIN),
        }
    }

    pub(super) fn refuse_soon(reason: RefuseReason) -> Self {
        Self::refuse(reason, RETRY_AFTER_MIN)
    }
}
