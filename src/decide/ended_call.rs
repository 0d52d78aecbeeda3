//! A call that has ended at an upstream which may still crash under it.

use std::time::Duration;

use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::RequestHash;

/// How a call has ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream has answered it in full, with a success.
    Succeeded,
    /// The upstream has answered it in full, with a failure.
    Failed,
    /// The answer was not received in full, or was none to this call, and the upstream may still run
    /// it: its caller has left, its time was up, another upstream has answered it, or its path was lost.
    Unanswered,
}

impl CallEnd {
    /// How long after this end the call may still crash the upstream. An upstream that has answered in
    /// full has no more work on the call.
    pub(crate) fn crashed_within(self) -> Duration {
        match self {
            Self::Succeeded => Duration::from_secs(2),
            Self::Failed | Self::Unanswered => Duration::from_secs(5),
        }
    }
}

/// A call that has ended at an instance of an upstream. If the instance ends soon afterwards, the call
/// may have crashed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// The id of the crash of the instance, should it end.
    pub crash: CrashId,
    /// The request.
    pub request: RequestHash,
    /// The parts of its prompt that requests share, in their order.
    pub parts: Vec<RequestPart>,
    /// How it has ended.
    pub end: CallEnd,
}

impl EndedCall {
    /// What of the call was answered. For a failure an upstream need not have begun to write an answer on
    /// the parts of the prompt.
    pub(crate) fn answered_parts(&self) -> Vec<RequestPart> {
        let whole = RequestPart::from(self.request);
        match self.end {
            CallEnd::Succeeded => self.parts.iter().copied().chain([whole]).collect(),
            CallEnd::Failed => vec![whole],
            CallEnd::Unanswered => Vec::new(),
        }
    }

    /// The same call as one that was lost with the upstream.
    pub(crate) fn into_lost(self) -> LostCall {
        LostCall {
            crash: self.crash,
            request: self.request,
            parts: self.parts,
            point: LossPoint::AfterEnd,
        }
    }
}
