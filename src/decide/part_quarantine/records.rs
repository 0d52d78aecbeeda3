//! Quarantines as they are kept beyond the life of a process.

use std::time::Instant;

use crate::decide::CrashSuspect;
use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::QuarantineRecord;
use crate::decide::RequestPart;
use crate::decide::known_crash::KnownCrash;
use crate::decide::known_crash::time_before;
use crate::decide::part_quarantine::DatedCrash;
use crate::units::RequestHash;

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
                is_found: true,
                parts: parts.clone(),
                crashes: crashes.iter().map(with_age).collect(),
                probes: probes
                    .map(|at| now.saturating_duration_since(*at))
                    .collect(),
            }
        });
        records.collect()
    }

    /// What crashes suggest that do not suffice for a quarantine.
    pub fn suspicions(&self, now: Instant) -> Vec<QuarantineRecord> {
        let suspected = self.lost_calls.suspected(&self.served, now);
        let is_open = |part: &RequestPart| !self.causes.keys().any(|parts| parts.contains(part));
        let open = suspected.into_iter().filter(|(part, _)| is_open(part));
        let records = open.map(|(part, crashes)| QuarantineRecord {
            is_found: false,
            parts: vec![part],
            crashes: crashes
                .into_iter()
                .map(|(crash, at)| (crash, now.saturating_duration_since(at)))
                .collect(),
            probes: Vec::new(),
        });
        records.take(RECORDS_MAX).collect()
    }

    /// Applies a record of a suspicion, which counts like calls that had ended before their upstreams.
    fn restore_suspicion(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let [part] = record.parts[..] else {
            return changes;
        };
        for (crash, age) in &record.crashes {
            // Which request had the part is not kept. It was another one in each crash.
            let request = part.request().unwrap_or(RequestHash(crash.0));
            let call = LostCall {
                crash: *crash,
                request,
                parts: (!part.is_whole()).then_some(part).into_iter().collect(),
                point: LossPoint::AfterEnd,
            };
            let crash = KnownCrash::told(*age, now);
            self.lost_calls.restore(call.clone(), crash);
            changes.extend(self.suspect_causes(&call, vec![part], crash, now));
        }
        changes
    }

    /// Applies a record of another process. Returns what has changed.
    pub fn restore(&mut self, record: &QuarantineRecord, now: Instant) -> Vec<QuarantineChange> {
        if !record.is_found {
            return self.restore_suspicion(record, now);
        }
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
