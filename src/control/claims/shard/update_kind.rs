//! The change of an existing claim.

use crate::control::claims::ClaimState;

/// The change of an existing claim.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpdateKind {
    /// The claim is removed, since its attempt is never dispatched.
    GiveBack,
    /// The claim records how its attempt ended.
    Finish(ClaimState),
}

impl UpdateKind {
    /// Whether a claim in this state needs no update. A finished claim is not given back.
    pub(super) fn is_done(self, state: ClaimState) -> bool {
        match self {
            Self::GiveBack => state.is_finished(),
            Self::Finish(target) => state == target,
        }
    }
}
