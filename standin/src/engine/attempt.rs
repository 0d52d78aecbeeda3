//! One attempt inside an engine.

use std::time::Instant;

use banyanarch::units::ContentHash;
use tokio::sync::watch;

use crate::engine::RunEnd;
use crate::engine::cache::Segment;

/// An attempt as it is offered.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) id: String,
    pub(crate) host: String,
    pub(crate) key: Option<String>,
    pub(crate) path: String,
    pub(crate) priority: u8,
    pub(crate) body_hash: ContentHash,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) segments: Vec<Segment>,
    /// How many engines hold the prompt together.
    pub(crate) gang_len: u64,
    pub(crate) deadline: Option<Instant>,
    pub(crate) crashes: bool,
}

/// How far an attempt has come, as its readers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) output_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) end: Option<RunEnd>,
}

/// What an attempt is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for memory or a slot.
    Waiting,
    /// So many prompt tokens still have to be read in.
    Prefill(u64),
    /// Each step makes a token.
    Decode,
    /// It ended then.
    Ended(Instant),
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) offer: Offer,
    pub(crate) phase: Phase,
    /// The length of the answer, where nothing ends it before.
    pub(crate) answer_tokens: u64,
    pub(crate) held_tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Attempt {
    pub(crate) fn new(offer: Offer) -> Self {
        let answer_tokens = crate::answer::len_tokens(offer.body_hash, offer.max_tokens);
        Self {
            offer,
            phase: Phase::Waiting,
            answer_tokens,
            held_tokens: 0,
            prefilled_tokens: 0,
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// The memory it needs here: its share of the prompt and of the longest answer.
    pub(crate) fn need_tokens(&self) -> u64 {
        (self.offer.prompt_tokens + self.offer.max_tokens).div_ceil(self.offer.gang_len)
    }

    /// The prompt tokens that this engine reads in, which the engines of a gang share.
    pub(crate) fn prefill_tokens(&self, cached_tokens: u64) -> u64 {
        let left = self.offer.prompt_tokens.saturating_sub(cached_tokens);
        left.div_ceil(self.offer.gang_len).max(1)
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// The tokens still to be read in.
    pub(crate) fn backlog_tokens(&self) -> u64 {
        match self.phase {
            Phase::Waiting => self.prefill_tokens(0),
            Phase::Prefill(left) => left,
            Phase::Decode | Phase::Ended(_) => 0,
        }
    }
}
