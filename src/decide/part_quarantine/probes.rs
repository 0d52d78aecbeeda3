//! Probes: single calls that show whether quarantined parts still crash upstreams.

use std::time::Instant;

use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;

impl PartQuarantine {
    /// Records that some host is sending a probe of quarantined parts. Returns what has changed.
    pub fn on_probe(
        &mut self,
        parts: &[RequestPart],
        probed_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if !self.is_probed(parts, now) {
            return Vec::new();
        }
        let probes = self.probes.entry(parts.to_vec()).or_default();
        probes.push(probed_at);
        self.on_probed(parts, now)
    }

    /// Replaces the probes of quarantined parts if fewer are known. Returns what has changed.
    pub(super) fn restore_probes(
        &mut self,
        parts: &[RequestPart],
        probes: Vec<Instant>,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let known = self.probes.get(parts).map_or(0, Vec::len);
        if probes.len() <= known || !self.is_probed(parts, now) {
            return Vec::new();
        }
        self.probes.insert(parts.to_vec(), probes);
        self.on_probed(parts, now)
    }

    /// Whether calls with these parts are probes.
    fn is_probed(&self, parts: &[RequestPart], now: Instant) -> bool {
        self.causes.contains_key(parts) || self.is_lost_often(parts, now)
    }

    /// Whether this is a request as a whole that was lost in as many crashes as begin a quarantine.
    pub(super) fn is_lost_often(&self, parts: &[RequestPart], now: Instant) -> bool {
        matches!(parts, [part] if self.losses_of(*part, now).is_some())
    }

    /// An answer to a probe clears the parts only once its upstream has lived on.
    fn on_probed(&mut self, parts: &[RequestPart], now: Instant) -> Vec<QuarantineChange> {
        if self.causes.contains_key(parts) {
            for part in parts {
                self.served.on_found_after_call(*part);
            }
        }
        self.evaluate(now)
    }
}
