//! A request as the decisions see it.

use std::fmt;
use std::time::Instant;

use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::HostId;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// What a policy needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// The host that holds the caller's connection.
    pub host: HostId,
    /// Who it is for.
    pub customer: CustomerId,
    /// Its rank; 0 first.
    pub priority: Priority,
    /// The prompt's length, estimated from its bytes.
    pub prompt_tokens: Tokens,
    /// The longest answer it may get.
    pub output_tokens: Tokens,
    /// Hashes of the prompt's prefix, the shortest first, each with its length.
    pub prefixes: Vec<(ContentHash, Tokens)>,
    /// When it must have ended.
    pub deadline: Instant,
    /// Upstreams that already failed it, to be tried last.
    pub avoid: Vec<UpstreamId>,
}

impl Work {
    /// The engine memory it needs at most.
    pub fn memory_tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }

    /// Its length class.
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }
}

/// Requests by length of prompt, for metrics and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// Up to 4,000 tokens.
    Short,
    /// Up to 32,000 tokens.
    Medium,
    /// Up to 100,000 tokens.
    Long,
    /// Above 100,000 tokens.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// The class of a prompt.
    pub fn of(prompt: Tokens) -> Self {
        match prompt.0 {
            0..=4_000 => Self::Short,
            4_001..=32_000 => Self::Medium,
            32_001..=100_000 => Self::Long,
            _ => Self::Huge,
        }
    }

    /// The class's name in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }
}

impl fmt::Display for LengthClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
