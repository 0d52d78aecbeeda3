//! The engines that work slower than their model predicts.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::Slowdown;
use crate::units::UpstreamId;

/// How long a report of an engine's slowdown counts: more than two poll intervals.
const REPORT_VALIDITY: Duration = Duration::from_millis(3_000);
/// Largest slowdown factor at which an engine counts as normal, since forecasts of its speed are
/// off by more than this anyway.
const NORMAL_FACTOR_MAX: f64 = 1.15;
/// Smallest factor between two slowdowns of an engine at which the change is broadcast at once.
const CHANGE_FACTOR_MIN: f64 = 1.25;

/// The latest slowdown that was reported for one engine.
#[derive(Clone, Copy, Debug)]
struct KnownSlowdown {
    slowdown: Slowdown,
    /// When this host received the report.
    at: Instant,
    /// Whether this host polled the engine itself.
    is_own: bool,
}

impl KnownSlowdown {
    fn new(slowdown: Slowdown, is_own: bool, at: Instant) -> Self {
        Self {
            slowdown,
            at,
            is_own,
        }
    }

    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REPORT_VALIDITY
    }
}

/// The engines that are slow according to this host's own polls and to other hosts' reports.
#[derive(Debug, Default)]
pub(crate) struct Slowdowns {
    reported: Mutex<IndexMap<UpstreamId, KnownSlowdown>>,
    /// The slowdowns of engines that report none, or a lower one, learned from the outcomes of calls.
    learned: Mutex<IndexMap<UpstreamId, Slowdown>>,
}

impl Slowdowns {
    /// Records an engine's report to this host. Returns whether the change since the last report is
    /// to be broadcast at once. An engine of normal speed is removed.
    pub(crate) fn on_report(&self, engine: &UpstreamId, slowdown: Slowdown, now: Instant) -> bool {
        let mut known = self.lock();
        let before = known.get(engine).map(|known| known.slowdown);
        if slowdown.factor() <= NORMAL_FACTOR_MAX {
            return known.swap_remove(engine).is_some();
        }
        known.insert(engine.clone(), KnownSlowdown::new(slowdown, true, now));
        before.is_none_or(|before| {
            let ratio = slowdown.factor() / before.factor();
            ratio.max(1.0 / ratio) >= CHANGE_FACTOR_MIN
        })
    }

    /// Records the slowdown of an engine that another host has reported. A valid report to this
    /// host itself takes precedence.
    pub(crate) fn on_peer_report(&self, engine: &UpstreamId, slowdown: Slowdown, now: Instant) {
        let mut known = self.lock();
        if known
            .get(engine)
            .is_some_and(|known| known.is_own && known.is_valid(now))
        {
            return;
        }
        known.insert(engine.clone(), KnownSlowdown::new(slowdown, false, now));
    }

    /// Replaces the slowdowns that were learned from the outcomes of calls.
    pub(crate) fn set_learned(&self, learned: IndexMap<UpstreamId, Slowdown>) {
        *self.lock_learned() = learned;
    }

    /// The slowdowns of all engines whose reports are valid at `now`, or whose slowdown was learned,
    /// usually none; the larger one of an engine that has both. The copy is made once for a choice,
    /// which may be among thousands of engines, to lock once.
    pub(crate) fn current(&self, now: Instant) -> IndexMap<UpstreamId, Slowdown> {
        let mut current = self.lock_learned().clone();
        let known = self.lock();
        for (id, known) in known.iter().filter(|(_, known)| known.is_valid(now)) {
            let slowdown = current.entry(id.clone()).or_insert(known.slowdown);
            if known.slowdown > *slowdown {
                *slowdown = known.slowdown;
            }
        }
        current
    }

    /// The slowdown of one engine at `now`.
    pub(crate) fn of(&self, engine: &UpstreamId, now: Instant) -> Slowdown {
        let learned = self.lock_learned().get(engine).copied().unwrap_or_default();
        let known = self.lock().get(engine).copied();
        match known.filter(|known| known.is_valid(now)) {
            Some(known) if known.slowdown > learned => known.slowdown,
            _ => learned,
        }
    }

    /// The slowdowns that this host found by its own polls, for its broadcasts. Drops all reports
    /// that are not valid any more.
    pub(crate) fn own(&self, now: Instant) -> Vec<(UpstreamId, Slowdown)> {
        let mut known = self.lock();
        known.retain(|_, known| known.is_valid(now));
        let own = known.iter().filter(|(_, known)| known.is_own);
        own.map(|(id, known)| (id.clone(), known.slowdown))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<UpstreamId, KnownSlowdown>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_learned(&self) -> MutexGuard<'_, IndexMap<UpstreamId, Slowdown>> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
