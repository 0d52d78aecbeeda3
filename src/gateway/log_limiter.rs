//! Limits how often a repeated event is logged.

use std::hash::Hash;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// The time between two log lines of one key.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// When an event was last logged, by key. Keys are dropped by [`LogLimiter::retain`] only.
#[derive(Debug)]
pub(crate) struct LogLimiter<K>(Mutex<IndexMap<K, Instant>>);

impl<K> Default for LogLimiter<K> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<K: Hash + Eq> LogLimiter<K> {
    /// Whether the event is to be logged now. If so, the next ones of the key are not for
    /// [`LOG_INTERVAL`].
    pub(crate) fn should_log(&self, key: K, now: Instant) -> bool {
        let mut logged = self.lock();
        let is_due = logged
            .get(&key)
            .is_none_or(|at| now.saturating_duration_since(*at) >= LOG_INTERVAL);
        if is_due {
            logged.insert(key, now);
        }
        is_due
    }

    /// Drops the keys for which `is_kept` is false.
    pub(crate) fn retain(&self, is_kept: impl Fn(&K) -> bool) {
        self.lock().retain(|key, _| is_kept(key));
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<K, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
