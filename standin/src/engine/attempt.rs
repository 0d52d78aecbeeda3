//! An attempt of a request on an engine.

use std::time::Instant;

use banyanarch::units::ContentHash;
use tokio::sync::watch;

use crate::engine::RunEnd;
use crate::engine::cache::Segment;

/// The parameters of an attempt, from its request.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSpec {
    pub(crate) id: String,
    pub(crate) host: String,
    pub(crate) key: Option<String>,
    pub(crate) path: String,
    pub(crate) priority: u8,
    pub(crate) body_hash: ContentHash,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) segments: Vec<Segment>,
    /// The number of engines that hold the prompt together.
    pub(crate) gang_len: u64,
    pub(crate) deadline: Option<Instant>,
    /// Whether the prompt crashes the engine when it is prefilled.
    pub(crate) crashes: bool,
}

/// Progress of an attempt, as readers of its answer see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) output_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) end: Option<RunEnd>,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The attempt waits for memory or a slot.
    Waiting,
    /// This many prompt tokens are still to be prefilled.
    Prefill(u64),
    /// Each step generates one token.
    Decode,
    /// The attempt ended at this instant.
    Ended(Instant),
}

/// An attempt with its phase, memory and progress.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) spec: AttemptSpec,
    pub(crate) phase: Phase,
    /// The length of the answer in tokens, unless the attempt ends early.
    pub(crate) answer_tokens: u64,
    /// The memory that the attempt holds, in tokens.
    pub(crate) held_tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Attempt {
    pub(crate) fn new(spec: AttemptSpec) -> Self {
        let answer_tokens = crate::answer::len_tokens(spec.body_hash, spec.max_tokens);
        Self {
            spec,
            phase: Phase::Waiting,
            answer_tokens,
            held_tokens: 0,
            prefilled_tokens: 0,
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// Returns the memory that the attempt needs on this engine, in tokens: its share of the prompt
    /// and of the longest answer.
    pub(crate) fn required_tokens(&self) -> u64 {
        (self.spec.prompt_tokens + self.spec.max_tokens).div_ceil(self.spec.gang_len)
    }

    /// Returns the prompt tokens to prefill on this engine; the engines of a gang share the work.
    pub(crate) fn prefill_tokens(&self, cached_tokens: u64) -> u64 {
        let uncached_tokens = self.spec.prompt_tokens.saturating_sub(cached_tokens);
        uncached_tokens.div_ceil(self.spec.gang_len).max(1)
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns the prompt tokens that are still to be prefilled.
    pub(crate) fn backlog_tokens(&self) -> u64 {
        match self.phase {
            Phase::Waiting => self.prefill_tokens(0),
            Phase::Prefill(remaining) => remaining,
            Phase::Decode | Phase::Ended(_) => 0,
        }
    }
}
