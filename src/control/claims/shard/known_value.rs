//! The content of a shard object as this host knows it.

use crate::control::claims::ShardValue;
use crate::units::ObjectVersion;

/// The content of the object as of a call of this host.
#[derive(Clone, Debug)]
pub(super) struct KnownValue {
    /// None if the object does not exist.
    pub(super) version: Option<ObjectVersion>,
    pub(super) value: ShardValue,
    /// The sequence number of the call.
    pub(super) seq: u64,
}
