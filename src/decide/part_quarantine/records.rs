//! Quarantines as they are kept beyond the life of a process.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::QuarantineRecord;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::CRASHES_MIN;
use crate::decide::known_crash::KnownCrash;
use crate::decide::known_crash::time_before;
use crate::decide::part_tallies::COUNTED_CRASHES_MIN;
use crate::units::QuarantineId;
use crate::units::RequestHash;

/// The number of quarantines that are kept.
const RECORDS_MAX: usize = 64;

impl PartQuarantine {
    /// All quarantines, also those of which the time is over: one more crash begins them again. The
    /// requests that were probed without being found are among them.
    pub fn records(&self, now: Instant) -> Vec<QuarantineRecord> {
        let probed = self.probes.keys();
        let probed = probed.filter(|parts| !self.causes.contains_key(*parts));
        let kept = self.causes.keys().chain(probed);
        let records = kept.filter_map(|parts| self.record_of(parts, now));
        records.take(RECORDS_MAX).collect()
    }

    /// The record of the quarantine of these parts, or of a request that may be probed; none if it is
    /// neither.
    pub fn record_of(&self, parts: &[RequestPart], now: Instant) -> Option<QuarantineRecord> {
        let found = self.causes.get(parts);
        let crashes = match (found, parts) {
            (Some(crashes), _) => crashes.clone(),
            (None, [part]) => self.losses_of(*part, now)?,
            (None, _) => return None,
        };
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let probes = self.probes.get(parts).into_iter().flatten();
        Some(QuarantineRecord {
            is_found: found.is_some(),
            parts: parts.to_vec(),
            crashes: crashes.iter().map(|(id, at)| (*id, age(at))).collect(),
            probes: probes.map(age).collect(),
        })
    }

    /// The ids of all that is to be kept: the quarantines, the requests that may be probed, and what
    /// crashes suggest.
    pub fn lasting(&self, now: Instant) -> IndexSet<QuarantineId> {
        let requests = self.lost_calls.requests_lost_in(CRASHES_MIN).into_iter();
        let requests = requests.map(|request| vec![RequestPart::from(request)]);
        let lost_often = requests.filter(|parts| self.is_lost_often(parts, now));
        let lost_often: Vec<QuarantineId> = lost_often
            .map(|parts| QuarantineId::of_parts(&parts))
            .collect();
        let records = self.records(now).into_iter().chain(self.suspicions(now));
        let records = records.map(|record| record.id());
        records.chain(lost_often).collect()
    }

    /// What crashes suggest that do not suffice for a quarantine.
    pub fn suspicions(&self, now: Instant) -> Vec<QuarantineRecord> {
        let suspected = self.lost_calls.suspected(&self.served, now);
        let is_open = |part: &RequestPart| {
            let mut recorded = self.causes.keys().chain(self.probes.keys());
            !recorded.any(|parts| parts.contains(part))
        };
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
            self.lost_calls.restore(call.clone(), crash, &self.served);
            changes.extend(self.suspect_causes(&call, vec![part], crash, now));
        }
        changes
    }

    /// Applies a record of another process. Returns what has changed.
    pub fn restore(&mut self, record: &QuarantineRecord, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = if record.is_found {
            self.restore_found(record, now)
        } else {
            self.restore_suspicion(record, now)
        };
        let probes = record.probes.iter().map(|age| time_before(now, *age));
        changes.extend(self.restore_probes(&record.parts, probes.collect(), now));
        changes
    }

    /// Applies the crashes of a quarantine.
    fn restore_found(&mut self, record: &QuarantineRecord, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let is_counted = record.crashes.len() >= COUNTED_CRASHES_MIN
            && matches!(record.parts[..], [part] if !part.is_whole());
        for (crash, age) in &record.crashes {
            for part in &record.parts {
                self.served.on_found_after_call(*part);
            }
            let suspect = CrashSuspect {
                crash: *crash,
                parts: record.parts.clone(),
            };
            let crash = KnownCrash::told(*age, now);
            changes.extend(if is_counted {
                self.record_counted(suspect, crash, now)
            } else {
                self.record_crash(suspect, crash, now)
            });
        }
        changes
    }
}
