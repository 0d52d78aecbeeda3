//! Requests that crash each upstream that runs them are recognised and refused.
//!
//! Load it answers: a caller, or a retry, sends such a request again and again. Without the list it
//! takes down one engine after another, with all else that runs there.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::PoisonReport;
use crate::decide::RequestFingerprint;
use crate::units::AttemptId;

/// One crash may be the upstream's own; a second one of another attempt elsewhere is held against
/// the request. Two is the least that tells these apart.
const CRASHES_MAX: usize = 2;
/// Marks kept in memory, about 100 bytes each.
const MARKS_MAX: usize = 8_192;
/// Marks dropped at once when the list is full.
const DROPPED_AT_ONCE: usize = 1_024;
/// How long after its last crash a fingerprint is kept: longer than callers go on sending again, short
/// enough that a repaired engine gets the request again the same day.
const KEPT_FOR: Duration = Duration::from_secs(3_600);

/// What one host knows of requests that crash upstreams.
#[derive(Debug)]
pub struct PoisonList {
    fingerprints: IndexMap<RequestFingerprint, Crashes>,
    crashes_max: usize,
    kept_for: Duration,
}

impl Default for PoisonList {
    fn default() -> Self {
        Self::with_bounds(CRASHES_MAX, KEPT_FOR)
    }
}

#[derive(Debug)]
struct Crashes {
    attempts: Vec<AttemptId>,
    last_at: Instant,
}

impl PoisonList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty list that refuses a request from its `crashes_max`th crash on, until `kept_for` has
    /// passed after the last one.
    pub fn with_bounds(crashes_max: usize, kept_for: Duration) -> Self {
        Self {
            fingerprints: IndexMap::new(),
            crashes_max,
            kept_for,
        }
    }

    /// Takes in that the upstream of an attempt crashed while it ran. Returns what to tell the other
    /// hosts, empty if they need not hear of it again.
    pub fn on_crash(
        &mut self,
        fingerprints: &[RequestFingerprint],
        attempt: AttemptId,
        now: Instant,
    ) -> Vec<PoisonReport> {
        let news = fingerprints.iter().map(|fingerprint| PoisonReport {
            fingerprint: *fingerprint,
            attempts: vec![attempt],
        });
        news.filter(|poison| self.merge(poison, now)).collect()
    }

    /// Takes in what another host tells. Returns whether it was new.
    pub fn merge(&mut self, poison: &PoisonReport, now: Instant) -> bool {
        self.make_room(poison.fingerprint, now);
        let crashes = self
            .fingerprints
            .entry(poison.fingerprint)
            .or_insert_with(|| Crashes {
                attempts: Vec::with_capacity(self.crashes_max),
                last_at: now,
            });
        let known = crashes.attempts.len();
        for attempt in &poison.attempts {
            let is_known = crashes.attempts.contains(attempt);
            if !is_known && crashes.attempts.len() < self.crashes_max {
                crashes.attempts.push(*attempt);
                crashes.last_at = now;
            }
        }
        crashes.attempts.len() > known
    }

    /// Whether a request with any of these fingerprints is to be refused.
    pub fn is_poison(&self, fingerprints: &[RequestFingerprint], now: Instant) -> bool {
        fingerprints.iter().any(|fingerprint| {
            let crashes = self.fingerprints.get(fingerprint);
            crashes.is_some_and(|c| {
                c.attempts.len() >= self.crashes_max && !c.is_old(self.kept_for, now)
            })
        })
    }

    /// Takes in that a request was served to its end, which one that crashes upstreams never is.
    /// Requests that ran beside such a one when it crashed their upstream are cleared this way.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprints.swap_remove(&fingerprint);
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// All that is known, for a host that has just started.
    pub fn all(&self, now: Instant) -> Vec<PoisonReport> {
        let kept = self
            .fingerprints
            .iter()
            .filter(|(_, c)| !c.is_old(self.kept_for, now));
        kept.map(|(fingerprint, crashes)| PoisonReport {
            fingerprint: *fingerprint,
            attempts: crashes.attempts.clone(),
        })
        .collect()
    }

    /// Drops fingerprints from the front, where the oldest stand, when the list is full: many at once, since
    /// each time the others move up.
    fn make_room(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.fingerprints.len() < MARKS_MAX || self.fingerprints.contains_key(&fingerprint) {
            return;
        }
        let kept_for = self.kept_for;
        self.fingerprints
            .retain(|_, crashes| !crashes.is_old(kept_for, now));
        let surplus = self
            .fingerprints
            .len()
            .saturating_sub(MARKS_MAX - DROPPED_AT_ONCE);
        self.fingerprints.drain(..surplus);
    }
}

impl Crashes {
    fn is_old(&self, kept_for: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) > kept_for
    }
}
