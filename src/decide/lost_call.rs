//! A call that was lost with an upstream, of which it is not known whether its answer had begun.

use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::RequestHash;

/// A call that was lost with an upstream before the head of its answer or after the first event. An
/// upstream that ends as it begins to write an answer may have sent nothing, or an event, so this call
/// may be the cause; but so may all others that waited there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LostCall {
    /// The crash.
    pub crash: CrashId,
    /// The request.
    pub request: RequestHash,
    /// The parts of its prompt that requests share, in their order.
    pub parts: Vec<RequestPart>,
}
