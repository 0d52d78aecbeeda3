//! A call that may have crashed an upstream.

use crate::units::CrashId;
use crate::units::PromptPartId;

/// A call that may have crashed an upstream: its answer had begun, and the connection broke before
/// an event was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashSuspect {
    /// The crash.
    pub crash: CrashId,
    /// The parts of the call's prompt that other requests may share, in the order of the prompt.
    pub parts: Vec<PromptPartId>,
}
