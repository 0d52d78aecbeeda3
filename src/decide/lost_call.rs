//! A call that was lost with an upstream, or had ended there shortly before.

use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::RequestHash;

/// How far a call had come when its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossPoint {
    /// Up to one event of its answer had been received.
    Early,
    /// Several events had been received.
    MidStream,
    /// The call had ended.
    AfterEnd,
}

/// A call that was lost with an upstream, or had ended there shortly before. It may be the cause; but so
/// may all others that ran there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LostCall {
    /// The crash.
    pub crash: CrashId,
    /// The request.
    pub request: RequestHash,
    /// The parts of its prompt that requests share, in their order.
    pub parts: Vec<RequestPart>,
    /// How far it had come.
    pub point: LossPoint,
}

impl LostCall {
    /// Whether the call suspects nothing by itself: it is more likely to have only run beside the one that
    /// crashed the upstream.
    pub(crate) fn is_weak(&self) -> bool {
        self.point != LossPoint::Early
    }

    /// What the call has in common with others that may have crashed the upstream: the parts of its
    /// prompt and the request as a whole.
    pub(crate) fn all_parts(&self) -> Vec<RequestPart> {
        let whole = RequestPart::from(self.request);
        self.parts.iter().copied().chain([whole]).collect()
    }
}
