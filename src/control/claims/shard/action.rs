//! The actions that a claim shard asks its driver to carry out.

use std::time::Instant;

use crate::control::claims::ShardValue;
use crate::objects::Precondition;

/// An action that a shard asks its driver to carry out. The driver passes the result of a read or a
/// write to [`on_read`] or [`on_written`] before the next step.
///
/// [`on_read`]: super::ClaimShard::on_read
/// [`on_written`]: super::ClaimShard::on_written
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Read the shard object.
    Read,
    /// Write the shard object under a condition.
    Write {
        /// The new content of the object.
        value: ShardValue,
        /// The condition on the current state of the object.
        expected: Precondition,
    },
    /// Do nothing until this time or until the shard is changed.
    Wait(Instant),
    /// Do nothing until the shard is changed.
    Idle,
}
