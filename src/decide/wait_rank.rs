//! The order in which waiting calls get places.

use crate::decide::ShareStanding;
use crate::units::Priority;

/// The least urgent priority that is told apart; the manifest's priorities end at 9.
const PRIORITY_MAX: u8 = 9;
/// Number of priorities in each group of ranks.
const GROUP_SIZE: u8 = PRIORITY_MAX + 1;

/// The rank of a waiting call; the lowest is served first. Inside a rank, customers share by cost,
/// and the earliest due call of a customer is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitRank(u8);

impl WaitRank {
    /// The rank of a call that an upstream may have run: its caller has a part of the answer.
    pub const RESUMED: Self = Self(0);

    /// The rank of a call that has not run. Calls that can still be on time come before late ones,
    /// then those of customers within their share before others, then the more urgent ones.
    pub fn new(priority: Priority, standing: ShareStanding, is_late: bool) -> Self {
        let group = 2 * u8::from(is_late) + u8::from(standing.is_above_share());
        Self(1 + group * GROUP_SIZE + priority.0.min(PRIORITY_MAX))
    }

    /// Whether the call can still be on time and its customer is within its share, or an upstream
    /// may have run it.
    pub fn is_first_group(self) -> bool {
        self.0 <= GROUP_SIZE
    }
}

impl From<WaitRank> for Priority {
    fn from(rank: WaitRank) -> Self {
        Self(rank.0)
    }
}
