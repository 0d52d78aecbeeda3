//! Parts of prompts that crash upstreams: where crashes and served requests are recorded, told to
//! other hosts and learned from them.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::decide::CrashSuspect;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::QuarantinedParts;
use crate::exchange::PartEvidenceEntry;
use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::units::CrashId;
use crate::units::PromptPartId;
use crate::units::whole_millis;

impl Gateway {
    /// Locks what is known of parts that crash upstreams.
    pub fn part_quarantine(&self) -> MutexGuard<'_, PartQuarantine> {
        let quarantine = self.part_quarantine.lock();
        quarantine.unwrap_or_else(PoisonError::into_inner)
    }

    /// The quarantined parts because of which a call is refused, if any.
    pub(crate) fn find_quarantined(&self, call: &Call, now: Instant) -> Option<QuarantinedParts> {
        let quarantine = self.part_quarantine();
        quarantine.find(&call.head.shared_parts, now).cloned()
    }

    /// Records that an upstream ended after it had begun to answer a call and before an event.
    pub(crate) fn on_crash_suspect(&self, call: &Call, upstream: &ListedUpstream, now: Instant) {
        if call.head.shared_parts.is_empty() {
            return;
        }
        let suspect = CrashSuspect {
            crash: CrashId::from(&upstream.id),
            parts: call.head.shared_parts.clone(),
        };
        let changes = self.part_quarantine().on_crash(suspect, now);
        self.log_quarantine_changes(&changes, None);
        self.broadcast_now.notify_one();
    }

    /// Records that a call was served to its end.
    pub(crate) fn on_parts_served(&self, call: &Call, now: Instant) {
        let parts = &call.head.shared_parts;
        if !parts.is_empty() {
            let changes = self.part_quarantine().on_served(parts, now);
            self.log_quarantine_changes(&changes, None);
        }
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`.
    pub(crate) fn on_upstream_answer(&self, upstream: &ListedUpstream, sent_at: Instant) {
        let mut quarantine = self.part_quarantine();
        if quarantine.is_empty() {
            return;
        }
        let now = self.clock.now();
        let changes = quarantine.on_alive(CrashId::from(&upstream.id), sent_at, now);
        drop(quarantine);
        self.log_quarantine_changes(&changes, None);
    }

    /// The entries about parts of prompts for the updates of this host.
    pub(crate) fn part_evidence(&self, now: Instant) -> Vec<PartEvidenceEntry> {
        let evidence = self.part_quarantine().evidence(now);
        evidence.into_iter().map(PartEvidenceEntry::from).collect()
    }

    /// Applies what another host reports about parts of prompts.
    pub(crate) fn apply_part_evidence(
        &self,
        told_by: &str,
        entries: &[PartEvidenceEntry],
        now: Instant,
    ) {
        for evidence in entries.iter().filter_map(PartEvidenceEntry::evidence) {
            let changes = self.part_quarantine().on_evidence(evidence, now);
            self.log_quarantine_changes(&changes, Some(told_by));
        }
    }

    fn log_quarantine_changes(&self, changes: &[QuarantineChange], told_by: Option<&str>) {
        let now = self.clock.now();
        for change in changes {
            let quarantined = change.quarantined();
            self.metrics.record_quarantine(change.name());
            self.log.record(DecisionEvent::PartQuarantine {
                change: change.name().into(),
                parts: part_names(&quarantined.parts),
                crashes: quarantined.crashes,
                told_by: told_by.map(str::to_owned),
                time_left_ms: whole_millis(quarantined.time_left(now)),
            });
        }
    }
}

/// The ids of parts as they stand in logs.
pub(crate) fn part_names(parts: &[PromptPartId]) -> Vec<String> {
    parts.iter().map(ToString::to_string).collect()
}
