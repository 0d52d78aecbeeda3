//! The update of a claim that is not known to be recorded yet.

use std::time::Instant;

use crate::control::claims::ClaimKey;
use crate::control::claims::shard::update_kind::UpdateKind;

/// The update of a claim that is not known to be recorded yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingUpdate {
    pub(super) key: ClaimKey,
    pub(super) kind: UpdateKind,
    /// The time from which the update may cause a write of its own.
    pub(super) due: Instant,
}
