//! Quarantines as they are kept beyond the life of a process.

use std::time::Instant;

use crate::decide::CrashSuspect;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::QuarantineRecord;
use crate::decide::known_crash::KnownCrash;
use crate::decide::known_crash::time_before;
use crate::decide::part_quarantine::DatedCrash;

/// The number of quarantines that are kept.
const RECORDS_MAX: usize = 64;

impl PartQuarantine {
    /// All quarantines, also those of which the time is over: one more crash begins them again.
    pub fn records(&self, now: Instant) -> Vec<QuarantineRecord> {
        let causes = self.causes.iter().take(RECORDS_MAX);
        let records = causes.map(|(parts, crashes)| {
            let with_age = |(crash, at): &DatedCrash| (*crash, now.saturating_duration_since(*at));
            let probes = self.probes.get(parts).into_iter().flatten();
            QuarantineRecord {
                parts: parts.clone(),
                crashes: crashes.iter().map(with_age).collect(),
                probes: probes
                    .map(|at| now.saturating_duration_since(*at))
                    .collect(),
            }
        });
        records.collect()
    }

    /// Applies a record of an earlier process. Returns what has changed.
    pub fn restore(&mut self, record: &QuarantineRecord, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for (crash, age) in &record.crashes {
            for part in &record.parts {
                self.served.on_found_after_call(*part);
            }
            let suspect = CrashSuspect {
                crash: *crash,
                parts: record.parts.clone(),
            };
            changes.extend(self.record_crash(suspect, KnownCrash::told(*age, now), now));
        }
        let probes = record.probes.iter().map(|age| time_before(now, *age));
        changes.extend(self.restore_probes(&record.parts, probes.collect(), now));
        changes
    }
}
