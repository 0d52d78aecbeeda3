//! Which engines work slower than their model says.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::Slowdown;
use crate::units::UpstreamId;

/// How long a word of an engine's slowness counts: more than two of the intervals in which it is asked.
const TOLD_FOR: Duration = Duration::from_millis(3_000);
/// An engine that is slower by less than this counts as sound: its forecasts are off by more anyway.
const SOUND_MAX: f64 = 1.15;
/// A change by less than this factor is no news.
const NEWS_FACTOR: f64 = 1.25;

#[derive(Clone, Copy, Debug)]
struct Known {
    slowdown: Slowdown,
    at: Instant,
    /// Whether this host asked the engine itself.
    is_own: bool,
}

impl Known {
    fn new(slowdown: Slowdown, is_own: bool, at: Instant) -> Self {
        Self {
            slowdown,
            at,
            is_own,
        }
    }

    fn is_told(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < TOLD_FOR
    }
}

/// The engines that are slow, by this host's own questions and by other hosts' word.
#[derive(Debug, Default)]
pub(crate) struct Slowdowns(Mutex<IndexMap<UpstreamId, Known>>);

impl Slowdowns {
    /// Takes in what an engine said to this host. Returns whether it is news.
    pub(crate) fn on_report(&self, engine: &UpstreamId, slowdown: Slowdown, now: Instant) -> bool {
        let mut known = self.lock();
        let before = known.get(engine).map(|known| known.slowdown);
        if slowdown.factor() <= SOUND_MAX {
            return known.swap_remove(engine).is_some();
        }
        known.insert(engine.clone(), Known::new(slowdown, true, now));
        before.is_none_or(|before| {
            let ratio = slowdown.factor() / before.factor();
            ratio.max(1.0 / ratio) >= NEWS_FACTOR
        })
    }

    /// Takes in what another host said of an engine.
    pub(crate) fn hear(&self, engine: &UpstreamId, slowdown: Slowdown, now: Instant) {
        let mut known = self.lock();
        if known
            .get(engine)
            .is_some_and(|known| known.is_own && known.is_told(now))
        {
            return;
        }
        known.insert(engine.clone(), Known::new(slowdown, false, now));
    }

    /// The engines that are slow, mostly none. Taken once for a choice among thousands of engines.
    pub(crate) fn current(&self, now: Instant) -> IndexMap<UpstreamId, Slowdown> {
        let known = self.lock();
        let told = known.iter().filter(|(_, known)| known.is_told(now));
        told.map(|(id, known)| (id.clone(), known.slowdown))
            .collect()
    }

    /// The slow engines that this host has asked itself, to be told to the others.
    pub(crate) fn own(&self, now: Instant) -> Vec<(UpstreamId, Slowdown)> {
        let mut known = self.lock();
        known.retain(|_, known| known.is_told(now));
        let own = known.iter().filter(|(_, known)| known.is_own);
        own.map(|(id, known)| (id.clone(), known.slowdown))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<UpstreamId, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
