//! The losses of calls with one part of their prompts.

use std::time::Instant;

use crate::units::CrashId;

/// The losses of calls with one part of their prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartLosses {
    /// The crashes that count separately, in order, each with its time.
    pub(crate) crashes: Vec<(CrashId, Instant)>,
    /// Those of them that lost a call which was open.
    pub(crate) open_crashes: usize,
    /// The number of different requests.
    pub(crate) requests: usize,
    /// The number of all crashes since the first of them that count separately, and of those that lost a
    /// call which was open, whatever calls they lost.
    pub(crate) all_crashes: usize,
    pub(crate) all_open_crashes: usize,
}
