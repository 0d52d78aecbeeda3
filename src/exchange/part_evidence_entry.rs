//! The entry of an update about parts of prompts.

use std::time::Duration;

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
}

/// What identifies an entry: the crash and the parts.
pub(crate) type PartEvidenceKey = (u64, Vec<u64>);

impl PartEvidenceEntry {
    pub(crate) fn key(&self) -> PartEvidenceKey {
        (self.crash, self.parts.clone())
    }

    /// Returns the entry with its age increased by `time`.
    pub(crate) fn aged_by(self, time: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_millis_u32(time)),
            ..self
        }
    }
}
