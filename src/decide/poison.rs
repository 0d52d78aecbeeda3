//! Detection and refusal of requests that crash every upstream that runs them.
//!
//! Load condition: a caller, or a retry, sends such a request again and again. Without this list
//! the request crashes one engine after another, together with all other requests that run there.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::PoisonReport;
use crate::decide::RequestFingerprint;
use crate::units::AttemptId;

/// The number of crashes after which a request is refused. One crash may be the upstream's own
/// fault, and a second crash, of another attempt elsewhere, points to the request. Two is the
/// minimum that distinguishes the two cases.
const CRASHES_MAX: usize = 2;
/// The number of fingerprints kept in memory, about 100 bytes each.
const FINGERPRINTS_MAX: usize = 8_192;
/// The number of fingerprints dropped together when the list is full.
const DROP_BATCH: usize = 1_024;
/// How long after its last crash a fingerprint is kept: longer than callers go on retrying, and
/// short enough that a repaired engine receives the request again the same day.
const RETENTION: Duration = Duration::from_secs(3_600);

/// The requests during which upstreams crashed, as far as one host knows, with their crashes.
#[derive(Debug, Default)]
pub struct PoisonList {
    fingerprints: IndexMap<RequestFingerprint, CrashRecord>,
}

/// The known crashes of one request.
#[derive(Debug)]
struct CrashRecord {
    /// The last attempts during which an upstream crashed, at most [`CRASHES_MAX`].
    attempts: VecDeque<AttemptId>,
    /// When this host learned of the last of these attempts.
    last_at: Instant,
}

impl PoisonList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the upstream of an attempt crashed while the attempt ran. Returns the reports
    /// to send to other hosts; empty if this host knew of the crash already.
    pub fn on_crash(
        &mut self,
        fingerprints: &[RequestFingerprint],
        attempt: AttemptId,
        now: Instant,
    ) -> Vec<PoisonReport> {
        let reports = fingerprints.iter().map(|fingerprint| PoisonReport {
            fingerprint: *fingerprint,
            attempts: vec![attempt],
        });
        reports.filter(|report| self.merge(report, now)).collect()
    }

    /// Merges a report of another host. The last [`CRASHES_MAX`] crashes are kept, and each new one
    /// renews the time for which the request is refused. Returns whether the report contained anything
    /// new. If the list is full, the oldest entries are dropped.
    pub fn merge(&mut self, report: &PoisonReport, now: Instant) -> bool {
        self.evict_if_full(report.fingerprint, now);
        let record = self
            .fingerprints
            .entry(report.fingerprint)
            .or_insert_with(|| CrashRecord {
                attempts: VecDeque::with_capacity(CRASHES_MAX),
                last_at: now,
            });
        let mut has_news = false;
        for attempt in &report.attempts {
            if record.attempts.contains(attempt) {
                continue;
            }
            if record.attempts.len() >= CRASHES_MAX {
                record.attempts.pop_front();
            }
            record.attempts.push_back(*attempt);
            record.last_at = now;
            has_news = true;
        }
        has_news
    }

    /// Whether a request with any of these fingerprints is to be refused.
    pub fn is_poison(&self, fingerprints: &[RequestFingerprint], now: Instant) -> bool {
        fingerprints.iter().any(|fingerprint| {
            let record = self.fingerprints.get(fingerprint);
            record.is_some_and(|record| {
                record.attempts.len() >= CRASHES_MAX && !record.is_expired(now)
            })
        })
    }

    /// Removes a request that was served to its end, which a request that crashes upstreams never
    /// is. This clears requests that ran beside a crashing one on the same upstream.
    pub fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprints.swap_remove(&fingerprint);
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// A report of every request on the list whose last crash is within the retention, for a host
    /// that has just started.
    pub fn all(&self, now: Instant) -> Vec<PoisonReport> {
        let kept = self
            .fingerprints
            .iter()
            .filter(|(_, record)| !record.is_expired(now));
        kept.map(|(fingerprint, record)| PoisonReport {
            fingerprint: *fingerprint,
            attempts: record.attempts.iter().copied().collect(),
        })
        .collect()
    }

    /// Drops the oldest fingerprints, which are at the front, when the list is full. Many are
    /// dropped together because each removal from the front shifts the rest.
    fn evict_if_full(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.fingerprints.len() < FINGERPRINTS_MAX
            || self.fingerprints.contains_key(&fingerprint)
        {
            return;
        }
        self.fingerprints
            .retain(|_, record| !record.is_expired(now));
        let surplus = self
            .fingerprints
            .len()
            .saturating_sub(FINGERPRINTS_MAX - DROP_BATCH);
        self.fingerprints.drain(..surplus);
    }
}

impl CrashRecord {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) > RETENTION
    }
}
