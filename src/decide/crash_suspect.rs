//! A call that may have crashed an upstream.

use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::RequestHash;

/// A call that may have crashed an upstream: the connection broke before the end of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashSuspect {
    /// The crash.
    pub crash: CrashId,
    /// What the call has in common with others: parts of its prompt, in their order, if the head of its
    /// answer was received and no event, and the request as a whole.
    pub parts: Vec<RequestPart>,
}

impl CrashSuspect {
    /// A call that is suspected as a whole alone.
    pub fn of_request(crash: CrashId, request: RequestHash) -> Self {
        Self {
            crash,
            parts: vec![request.into()],
        }
    }

    /// The same call as one that was lost; none if the request as a whole is not known.
    pub(crate) fn lost_call(&self) -> Option<LostCall> {
        let request = self.parts.iter().find_map(RequestPart::request)?;
        let shared = self.parts.iter().filter(|part| !part.is_whole());
        Some(LostCall {
            crash: self.crash,
            request,
            parts: shared.copied().collect(),
            point: LossPoint::Early,
        })
    }
}
