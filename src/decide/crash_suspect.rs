//! A call that may have crashed an upstream.

use crate::decide::RequestPart;
use crate::units::CrashId;

/// A call that may have crashed an upstream: the connection broke before an event of its answer was
/// received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashSuspect {
    /// The crash.
    pub crash: CrashId,
    /// What the call has in common with others: parts of its prompt, in their order, if its answer had
    /// begun, and the request as a whole.
    pub parts: Vec<RequestPart>,
}
