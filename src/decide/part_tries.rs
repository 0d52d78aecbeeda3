//! What one host has seen of the tries with a part of a prompt.

use crate::decide::RequestPart;
use crate::units::TellerId;

/// What one host has seen of the tries with a part of a prompt, and of its other calls, since upstreams
/// began to end under the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartTries {
    /// The part.
    pub part: RequestPart,
    /// The host.
    pub teller: TellerId,
    /// The number of tries that were served.
    pub served: u32,
    /// Those of them whose upstreams ended soon afterwards.
    pub lost_after_end: u32,
    /// The calls of the host without the part.
    pub others: CallCounts,
}

/// Numbers of calls that have ended at upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// All that have ended, those that were lost included.
    pub ended: u32,
    /// Those that were lost with their upstreams while they were open.
    pub lost_open: u32,
    /// Those that had ended when their upstreams did.
    pub lost_after_end: u32,
}

impl CallCounts {
    /// The counts since there were as many as `before`.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(before.ended),
            lost_open: self.lost_open.saturating_sub(before.lost_open),
            lost_after_end: self.lost_after_end.saturating_sub(before.lost_after_end),
        }
    }

    /// The sum of both.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            ended: self.ended.saturating_add(other.ended),
            lost_open: self.lost_open.saturating_add(other.lost_open),
            lost_after_end: self.lost_after_end.saturating_add(other.lost_after_end),
        }
    }
}
