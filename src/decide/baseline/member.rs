//! An upstream as a baseline sees it.

use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::units::Tokens;
use crate::upstream::LoadReport;

/// An upstream with what this host sent to it and what it reported last.
#[derive(Clone, Debug)]
pub struct Member {
    /// As the platform's list shows it.
    pub info: UpstreamInfo,
    /// Attempts that this host granted and that have not ended.
    pub in_flight: u32,
    /// Memory that they hold.
    pub held_tokens: Tokens,
    /// The last report.
    pub report: LoadReport,
    /// Prompt tokens that this host has sent since that report.
    pub sent_tokens: Tokens,
}

impl Member {
    /// An upstream without work.
    pub fn new(info: UpstreamInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            held_tokens: Tokens::ZERO,
            report: LoadReport::default(),
            sent_tokens: Tokens::ZERO,
        }
    }

    /// Whether it may get new work.
    pub fn is_open(&self) -> bool {
        self.info.health == UpstreamHealth::Live
    }

    /// Prefill work by the last report and by what was sent since.
    pub fn backlog_tokens(&self) -> Tokens {
        self.report.prefill_backlog_tokens + self.sent_tokens
    }
}
