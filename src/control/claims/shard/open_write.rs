//! A write of a shard object that has no result yet.

use crate::control::claims::ShardValue;
use crate::units::ObjectVersion;

/// The write that has no result yet.
#[derive(Clone, Debug)]
pub(super) struct OpenWrite {
    pub(super) value: ShardValue,
    pub(super) expected: Option<ObjectVersion>,
    pub(super) seq: u64,
}
