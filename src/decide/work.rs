//! The properties of a request that decisions depend on.

use std::fmt;
use std::time::Instant;

use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::HostId;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The properties of a request that a policy needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The id of the request.
    pub request: RequestId,
    /// The host that holds the caller's connection.
    pub host: HostId,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The priority; 0 is served first.
    pub priority: Priority,
    /// The prompt length, estimated from its bytes.
    pub prompt_tokens: Tokens,
    /// The largest allowed answer length.
    pub output_tokens: Tokens,
    /// The hashes of the prompt's prefixes, each with its length, the shortest first.
    pub prefixes: Vec<(ContentHash, Tokens)>,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The upstreams on which the request already failed, which are tried last.
    pub avoid: Vec<UpstreamId>,
}

impl Work {
    /// The most engine memory that the request needs.
    pub fn memory_tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }

    /// The length class of the prompt.
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }
}

/// A class of requests by prompt length, for metrics and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// Prompts of up to 4,000 tokens.
    Short,
    /// Prompts of up to 32,000 tokens.
    Medium,
    /// Prompts of up to 100,000 tokens.
    Long,
    /// Prompts above 100,000 tokens.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// The class of a prompt of this length.
    pub fn of(prompt: Tokens) -> Self {
        match prompt.0 {
            0..=4_000 => Self::Short,
            4_001..=32_000 => Self::Medium,
            32_001..=100_000 => Self::Long,
            _ => Self::Huge,
        }
    }

    /// The name of the class in metrics and reports.
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
