//! The state of an upstream in a baseline policy.

use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::units::Tokens;
use crate::upstream::LoadReport;

/// An upstream with the work that this host sent to it and its last load report.
#[derive(Clone, Debug)]
pub struct BaselineUpstream {
    /// The upstream's description from the platform and the manifest.
    pub info: UpstreamInfo,
    /// The number of attempts that this host granted and that have not ended.
    pub in_flight: u32,
    /// The memory that these attempts hold, in tokens.
    pub held_tokens: Tokens,
    /// The last load report.
    pub report: LoadReport,
    /// The prompt tokens that this host has sent since that report.
    pub sent_tokens: Tokens,
}

impl BaselineUpstream {
    /// Creates an upstream without work.
    pub fn new(info: UpstreamInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            held_tokens: Tokens::ZERO,
            report: LoadReport::default(),
            sent_tokens: Tokens::ZERO,
        }
    }

    /// Whether the upstream may get new work.
    pub fn is_open(&self) -> bool {
        self.info.health == UpstreamHealth::Live
    }

    /// The prefill backlog in tokens: that of the last report plus the prompt tokens sent since.
    pub fn backlog_tokens(&self) -> Tokens {
        self.report.prefill_backlog_tokens + self.sent_tokens
    }
}
