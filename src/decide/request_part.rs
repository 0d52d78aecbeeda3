//! What requests have in common.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;
use crate::units::PromptPartId;
use crate::units::RequestHash;

/// What stands before the hash of a request in text.
const WHOLE_PREFIX: &str = "request-";

/// What a request has in common with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPart {
    /// A part of its prompt.
    Prompt(PromptPartId),
    /// The request as a whole, which it has in common with its repeats.
    Whole(RequestHash),
}

impl RequestPart {
    /// Whether this is a request as a whole.
    pub fn is_whole(&self) -> bool {
        self.request().is_some()
    }

    /// The request, if this is one as a whole.
    pub fn request(&self) -> Option<RequestHash> {
        match self {
            Self::Prompt(_) => None,
            Self::Whole(request) => Some(*request),
        }
    }
}

impl From<PromptPartId> for RequestPart {
    fn from(part: PromptPartId) -> Self {
        Self::Prompt(part)
    }
}

impl From<RequestHash> for RequestPart {
    fn from(request: RequestHash) -> Self {
        Self::Whole(request)
    }
}

impl fmt::Display for RequestPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prompt(part) => part.fmt(f),
            Self::Whole(request) => write!(f, "{WHOLE_PREFIX}{request}"),
        }
    }
}

impl FromStr for RequestPart {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(WHOLE_PREFIX) {
            Some(request) => request.parse().map(Self::Whole),
            None => text.parse().map(Self::Prompt),
        }
    }
}
