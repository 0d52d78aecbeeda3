//! The outcome of a choice of engines.

use std::time::Duration;
use std::time::Instant;

use crate::decide::EngineModel;
use crate::decide::HelperRelease;
use crate::decide::RefuseReason;
use crate::decide::RequestLoad;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::MemoryReservation;
use crate::decide::engines::PromptClass;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The shortest wait before a choice is repeated. Shorter waits cost more wake-ups than they gain.
const WAIT_MIN: Duration = Duration::from_millis(15);
/// The longest wait before a choice is repeated, since the load of other hosts changes meanwhile.
const WAIT_MAX: Duration = Duration::from_millis(120);
/// The shortest time after which a caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// The engines for one request, with what each of them does.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine that gets the request, reads one part of the prompt and writes the answer.
    pub leader: UpstreamId,
    /// The engines that read the other parts of the prompt.
    pub helpers: Vec<UpstreamId>,
    /// Memory that is reserved before the prompt is sent, the leader's first.
    pub reservations: Vec<MemoryReservation>,
    /// Engine time of one part.
    pub part_time: Duration,
    /// Expected time until the first event.
    pub forecast: Duration,
}

impl EnginePlan {
    /// The reservation at `engine`; `None` if that engine reserves no memory.
    pub fn reservation(&self, engine: &UpstreamId) -> Option<&MemoryReservation> {
        self.reservations
            .iter()
            .find(|reservation| reservation.engine == *engine)
    }

    /// The load that the request adds to each engine, the leader's first. `pause` is the longest
    /// pause between two events that the caller accepts.
    pub fn request_loads(
        &self,
        model: &EngineModel,
        request: &EngineRequest,
        pause: Option<Duration>,
        now: Instant,
    ) -> Vec<(UpstreamId, RequestLoad)> {
        let reserved = |engine| {
            self.reservation(engine)
                .map(|reservation| reservation.tokens)
        };
        let leader = RequestLoad {
            takes_slot: true,
            is_short: request.class(model) == PromptClass::Short,
            pause,
            prefill_time: self.part_time,
            held_tokens: reserved(&self.leader).unwrap_or_else(|| request.memory_needed()),
            helper_release: None,
            prefill_due: (request.class(model) != PromptClass::Short)
                .then(|| now + request.objective_left),
        };
        let helpers = self.helpers.iter().map(|id| {
            let load = RequestLoad {
                takes_slot: false,
                held_tokens: reserved(id).unwrap_or(Tokens::ZERO),
                helper_release: Some(match reserved(id) {
                    Some(_) => HelperRelease::AnswerEnded,
                    None => HelperRelease::PromptRead,
                }),
                ..leader
            };
            (id.clone(), load)
        });
        let mut loads = vec![(self.leader.clone(), leader)];
        loads.extend(helpers);
        loads
    }
}

/// What to do with a request that needs engines.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineChoice {
    /// Send the request.
    Send(EnginePlan),
    /// Repeat the choice after this time.
    Wait(Duration),
    /// Refuse the request, which has not been sent to any engine.
    Refuse {
        /// The reason for the refusal.
        reason: RefuseReason,
        /// Estimated time until the request can be served.
        retry_after: Duration,
    },
}

impl EngineChoice {
    /// Waits for `wanted`, limited to the range from [`WAIT_MIN`] to [`WAIT_MAX`].
    pub(super) fn wait(wanted: Duration) -> Self {
        Self::Wait(wanted.clamp(WAIT_MIN, WAIT_MAX))
    }

    /// Refuses the request. The caller retries after `retry_after`, but at the earliest after
    /// [`RETRY_AFTER_MIN`].
    pub(super) fn refuse(reason: RefuseReason, retry_after: Duration) -> Self {
        Self::Refuse {
            reason,
            retry_after: retry_after.max(RETRY_AFTER_MIN),
        }
    }

    /// Refuses the request. The caller retries after [`RETRY_AFTER_MIN`].
    pub(super) fn refuse_soon(reason: RefuseReason) -> Self {
        Self::refuse(reason, RETRY_AFTER_MIN)
    }
}
