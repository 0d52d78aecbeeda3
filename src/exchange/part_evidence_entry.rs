//! The entry of an update about parts of requests.

use std::time::Duration;

use crate::decide::CallCounts;
use crate::decide::CrashSuspect;
use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::PartEvidence;
use crate::decide::PartTries;
use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::PromptPartId;
use crate::units::RequestHash;
use crate::units::TellerId;
use crate::units::whole_millis_u32;

/// The number of other calls up to which their count is told again after each growth by a quarter, and
/// beyond that when it has doubled.
const EXACT_CALLS_MAX: u32 = 64;

/// What the sender knows of parts of requests and of crashes: that a call with these parts may have
/// crashed an upstream, that the upstream has not crashed, or that requests with a part were served to
/// their end.
///
/// Hosts of an earlier version ignore the fields about whole requests. What is only about a whole
/// request therefore leaves the others empty.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct PartEvidenceEntry {
    /// The id of the crash; 0 if requests with the part were served.
    #[prost(fixed64, tag = "1")]
    pub crash: u64,
    /// The parts of the call that may have crashed the upstream, in the order of its prompt; none if
    /// the upstream has answered since; the one part if requests with it were served.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// The time since the crash, since the answer of the upstream, or since a request with the part
    /// was last served, in ms.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether the part was refused or suspected before it was served.
    #[prost(bool, tag = "4")]
    pub is_release: bool,
    /// The hash of the call that may have crashed the upstream, or of the request that was served; 0
    /// if there is none.
    #[prost(fixed64, tag = "5")]
    pub request: u64,
    /// The id of the crash if the entry lists no part of a prompt; otherwise 0.
    #[prost(fixed64, tag = "6")]
    pub request_crash: u64,
    /// The parts of the call, in the order of its prompt, if it was lost before the head of its answer
    /// or after an event.
    #[prost(fixed64, repeated, tag = "7")]
    pub lost_parts: Vec<u64>,
    /// The hash of the call if several events of its answer were received, or if it had ended before the
    /// upstream did, in place of that in the field `request`; otherwise 0.
    #[prost(fixed64, tag = "8")]
    pub weak_request: u64,
    /// The id that a crash of an upstream has which has ended, if the entry is about that alone; otherwise
    /// 0. Hosts of an earlier version ignore such entries.
    #[prost(fixed64, tag = "9")]
    pub ended: u64,
    /// Whether the call had ended before the upstream did.
    #[prost(bool, tag = "10")]
    pub is_after_end: bool,
    /// Whether the call is told since the request was lost as often as begins a quarantine. Hosts of an
    /// earlier version take it for any other call that had ended.
    #[prost(bool, tag = "11")]
    pub is_suspected: bool,
    /// Whether the part crashes upstreams although some tries with it are served. Hosts of an earlier
    /// version take the entry for one of any other suspected call.
    #[prost(bool, tag = "12")]
    pub is_counted: bool,
    /// The part if the entry is about the tries with it alone; otherwise 0. Hosts of an earlier version
    /// ignore such entries.
    #[prost(fixed64, tag = "13")]
    pub tried_part: u64,
    /// The process that has counted these tries.
    #[prost(fixed64, tag = "14")]
    pub teller: u64,
    /// The number of these tries that were served.
    #[prost(uint32, tag = "15")]
    pub served: u32,
    /// The calls of that process with prompts without the part that have ended.
    #[prost(uint32, tag = "16")]
    pub others_ended: u32,
    /// Those of them that were lost while they were open.
    #[prost(uint32, tag = "17")]
    pub others_lost_open: u32,
    /// Those of them that had ended when their upstreams did.
    #[prost(uint32, tag = "18")]
    pub others_lost_after_end: u32,
    /// The number of these tries that were served and whose upstreams ended soon afterwards.
    #[prost(uint32, tag = "19")]
    pub served_and_lost: u32,
}

/// What identifies an entry: all of it but the age, and of counts their magnitudes, so that they are told
/// again when they have grown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PartEvidenceKey {
    crash: u64,
    parts: Vec<u64>,
    is_release: bool,
    request: u64,
    request_crash: u64,
    lost_parts: Vec<u64>,
    weak_request: u64,
    ended: u64,
    is_after_end: bool,
    is_suspected: bool,
    is_counted: bool,
    tried_part: u64,
    teller: u64,
    served_magnitude: u32,
    served_and_lost: u32,
    others_magnitude: u32,
}

impl From<PartEvidence> for PartEvidenceEntry {
    fn from(evidence: PartEvidence) -> Self {
        match evidence {
            PartEvidence::Crash(suspect, age) => Self::crash(&suspect, age),
            PartEvidence::Counted(suspect, age) => Self {
                is_counted: true,
                ..Self::crash(&suspect, age)
            },
            PartEvidence::Tries(tries) => Self {
                tried_part: prompt_part(&tries.part).unwrap_or(0),
                teller: tries.teller.0,
                served: tries.served,
                served_and_lost: tries.lost_after_end,
                others_ended: tries.others.ended,
                others_lost_open: tries.others.lost_open,
                others_lost_after_end: tries.others.lost_after_end,
                ..Self::default()
            },
            PartEvidence::Lost(call, age) => Self::lost(&call, age),
            PartEvidence::Suspected(call, age) => Self {
                is_suspected: true,
                ..Self::lost(&call, age)
            },
            PartEvidence::Ended(crash, age) => Self {
                ended: crash.0,
                age_ms: whole_millis_u32(age),
                ..Self::default()
            },
            PartEvidence::Alive(crash, age) => Self {
                crash: crash.0,
                age_ms: whole_millis_u32(age),
                ..Self::default()
            },
            PartEvidence::Served(part, age) => Self::served(part, age, false),
            PartEvidence::Released(part, age) => Self::served(part, age, true),
        }
    }
}

impl PartEvidenceEntry {
    fn crash(suspect: &CrashSuspect, age: Duration) -> Self {
        let parts = suspect.parts.iter().filter_map(prompt_part);
        let parts: Vec<u64> = parts.collect();
        let request = suspect.parts.iter().find_map(whole_request);
        let (crash, request_crash) = match parts.as_slice() {
            [] => (0, suspect.crash.0),
            _ => (suspect.crash.0, 0),
        };
        Self {
            crash,
            parts,
            age_ms: whole_millis_u32(age),
            is_release: false,
            request: request.unwrap_or(0),
            request_crash,
            ..Self::default()
        }
    }

    fn lost(call: &LostCall, age: Duration) -> Self {
        let (request, weak_request) = if call.is_weak() {
            (0, call.request.0)
        } else {
            (call.request.0, 0)
        };
        Self {
            age_ms: whole_millis_u32(age),
            request,
            weak_request,
            is_after_end: call.point == LossPoint::AfterEnd,
            request_crash: call.crash.0,
            lost_parts: call.parts.iter().filter_map(prompt_part).collect(),
            ..Self::default()
        }
    }

    fn served(part: RequestPart, age: Duration, is_release: bool) -> Self {
        Self {
            parts: prompt_part(&part).into_iter().collect(),
            request: whole_request(&part).unwrap_or(0),
            age_ms: whole_millis_u32(age),
            is_release,
            ..Self::default()
        }
    }

    /// Decodes the entry; none if it is empty.
    pub fn evidence(&self) -> Option<PartEvidence> {
        let age = Duration::from_millis(self.age_ms.into());
        if self.ended != 0 {
            return Some(PartEvidence::Ended(CrashId(self.ended), age));
        }
        if self.tried_part != 0 {
            return Some(PartEvidence::Tries(self.part_tries()));
        }
        if !self.lost_parts.is_empty() || self.weak_request != 0 {
            return self.lost_call().map(|call| match self.is_suspected {
                true => PartEvidence::Suspected(call, age),
                false => PartEvidence::Lost(call, age),
            });
        }
        let parts = self.parts.iter().map(|part| PromptPartId(*part).into());
        let request = (self.request != 0).then(|| RequestHash(self.request).into());
        let parts: Vec<RequestPart> = parts.chain(request).collect();
        let crash = CrashId(if self.crash == 0 {
            self.request_crash
        } else {
            self.crash
        });
        match (crash.0, parts.first()) {
            (0, None) => None,
            (0, Some(part)) if self.is_release => Some(PartEvidence::Released(*part, age)),
            (0, Some(part)) => Some(PartEvidence::Served(*part, age)),
            (_, None) => Some(PartEvidence::Alive(crash, age)),
            (_, Some(_)) if self.is_counted => {
                Some(PartEvidence::Counted(CrashSuspect { crash, parts }, age))
            }
            (_, Some(_)) => Some(PartEvidence::Crash(CrashSuspect { crash, parts }, age)),
        }
    }

    fn part_tries(&self) -> PartTries {
        PartTries {
            part: PromptPartId(self.tried_part).into(),
            teller: TellerId(self.teller),
            served: self.served,
            lost_after_end: self.served_and_lost,
            others: CallCounts {
                ended: self.others_ended,
                lost_open: self.others_lost_open,
                lost_after_end: self.others_lost_after_end,
            },
        }
    }

    /// The lost call of the entry; none if it does not name the crash and the request.
    fn lost_call(&self) -> Option<LostCall> {
        let point = match (self.weak_request, self.is_after_end) {
            (0, _) => LossPoint::Early,
            (_, false) => LossPoint::MidStream,
            (_, true) => LossPoint::AfterEnd,
        };
        let request = if self.weak_request != 0 {
            self.weak_request
        } else {
            self.request
        };
        let is_named = request != 0 && self.request_crash != 0;
        let parts = self.lost_parts.iter();
        is_named.then(|| LostCall {
            crash: CrashId(self.request_crash),
            request: RequestHash(request),
            point,
            parts: parts.map(|part| PromptPartId(*part).into()).collect(),
        })
    }

    pub(crate) fn key(&self) -> PartEvidenceKey {
        PartEvidenceKey {
            crash: self.crash,
            parts: self.parts.clone(),
            is_release: self.is_release,
            request: self.request,
            request_crash: self.request_crash,
            lost_parts: self.lost_parts.clone(),
            weak_request: self.weak_request,
            ended: self.ended,
            is_after_end: self.is_after_end,
            is_suspected: self.is_suspected,
            is_counted: self.is_counted,
            tried_part: self.tried_part,
            teller: self.teller,
            served_magnitude: magnitude(self.served),
            served_and_lost: magnitude(self.served_and_lost),
            others_magnitude: magnitude(self.others_ended.min(EXACT_CALLS_MAX))
                + self.others_ended.checked_ilog2().unwrap_or(0),
        }
    }

    /// Returns the entry with its age increased by `time`.
    pub(crate) fn aged_by(self, time: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_millis_u32(time)),
            ..self
        }
    }
}

/// The magnitude of a count, in steps by which it grows by an eighth to a quarter.
fn magnitude(count: u32) -> u32 {
    let exponent = count.checked_ilog2().unwrap_or(0);
    let leading = count >> exponent.saturating_sub(2);
    4 * exponent + leading
}

/// The part of a prompt, as it stands in messages.
fn prompt_part(part: &RequestPart) -> Option<u64> {
    match part {
        RequestPart::Prompt(part) => Some(part.0),
        RequestPart::Whole(_) => None,
    }
}

/// The whole request, as it stands in messages.
fn whole_request(part: &RequestPart) -> Option<u64> {
    part.request().map(|request| request.0)
}
