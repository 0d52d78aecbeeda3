//! A call that was lost with an upstream, of which it is not known whether its answer had begun.

use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::RequestHash;

/// A call that was lost with an upstream before the head of its answer or after an event. An
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
    /// Whether it was lost in the middle of its stream, after several events. Such calls are more likely
    /// to have only run beside the one that crashed the upstream.
    pub is_mid_stream: bool,
}

impl LostCall {
    /// What the call has in common with others that may have crashed the upstream: the parts of its
    /// prompt and the request as a whole.
    pub(crate) fn all_parts(&self) -> Vec<RequestPart> {
        let whole = RequestPart::from(self.request);
        self.parts.iter().copied().chain([whole]).collect()
    }
}
