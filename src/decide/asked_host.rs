//! A host that was asked for a tunnel, and its answer.

use std::fmt;

use crate::units::FailureDomainId;
use crate::units::HostId;

/// Why a host provides no tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TunnelAnswer {
    /// It reaches other upstreams, but not this one.
    Unreachable,
    /// It cannot tell whether the upstream is up: the reason.
    Declined(String),
}

impl fmt::Display for TunnelAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("unreachable"),
            Self::Declined(why) => f.write_str(why),
        }
    }
}

/// A host that was asked for a tunnel.
#[derive(Clone, Debug)]
pub struct AskedHost {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// None while the host has not answered.
    pub answer: Option<TunnelAnswer>,
}

impl AskedHost {
    /// A host that has not answered yet.
    pub fn new(host: HostId, domain: FailureDomainId) -> Self {
        Self {
            host,
            domain,
            answer: None,
        }
    }

    /// Whether the host has answered that it does not reach the upstream, but others.
    pub fn is_unreachable(&self) -> bool {
        self.answer == Some(TunnelAnswer::Unreachable)
    }
}

impl fmt::Display for AskedHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.answer {
            Some(answer) => write!(f, "{}: {answer}", self.host),
            None => write!(f, "{}: no answer yet", self.host),
        }
    }
}
