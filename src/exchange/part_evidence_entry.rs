//! The entry of an update about parts of prompts.

use std::time::Duration;

use crate::decide::CrashSuspect;
use crate::decide::PartEvidence;
use crate::units::CrashId;
use crate::units::PromptPartId;
use crate::units::whole_millis_u32;

/// What the sender knows of parts of prompts and of crashes: that a call with these parts may have
/// crashed an upstream, that the upstream has not crashed, or that requests with a part were served to
/// their end.
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
    /// Whether the part was refused before it was served.
    #[prost(bool, tag = "4")]
    pub is_release: bool,
}

/// What identifies an entry: the crash, the parts, and whether it is a release.
pub(crate) type PartEvidenceKey = (u64, Vec<u64>, bool);

impl From<PartEvidence> for PartEvidenceEntry {
    fn from(evidence: PartEvidence) -> Self {
        match evidence {
            PartEvidence::Crash(suspect, age) => Self {
                crash: suspect.crash.0,
                parts: suspect.parts.iter().map(|part| part.0).collect(),
                age_ms: whole_millis_u32(age),
                is_release: false,
            },
            PartEvidence::Alive(crash, age) => Self {
                crash: crash.0,
                parts: Vec::new(),
                age_ms: whole_millis_u32(age),
                is_release: false,
            },
            PartEvidence::Served(part, age) => Self::served(part, age, false),
            PartEvidence::Released(part, age) => Self::served(part, age, true),
        }
    }
}

impl PartEvidenceEntry {
    fn served(part: PromptPartId, age: Duration, is_release: bool) -> Self {
        Self {
            crash: 0,
            parts: vec![part.0],
            age_ms: whole_millis_u32(age),
            is_release,
        }
    }

    /// Decodes the entry; none if it is empty.
    pub fn evidence(&self) -> Option<PartEvidence> {
        let age = Duration::from_millis(self.age_ms.into());
        let parts: Vec<PromptPartId> = self.parts.iter().map(|part| PromptPartId(*part)).collect();
        let crash = CrashId(self.crash);
        match (self.crash, parts.first()) {
            (0, None) => None,
            (0, Some(part)) if self.is_release => Some(PartEvidence::Released(*part, age)),
            (0, Some(part)) => Some(PartEvidence::Served(*part, age)),
            (_, None) => Some(PartEvidence::Alive(crash, age)),
            (_, Some(_)) => Some(PartEvidence::Crash(CrashSuspect { crash, parts }, age)),
        }
    }

    pub(crate) fn key(&self) -> PartEvidenceKey {
        (self.crash, self.parts.clone(), self.is_release)
    }

    /// Returns the entry with its age increased by `time`.
    pub(crate) fn aged_by(self, time: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_millis_u32(time)),
            ..self
        }
    }
}
