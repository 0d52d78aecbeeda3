//! The generation of the manifest that other hosts have in force.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::units::Generation;

/// How long a report counts. Hosts repeat it several times a second.
const RETENTION: Duration = Duration::from_secs(5);

/// The highest generation that other hosts have reported recently.
///
/// A store that was restored from an older copy may hold an older manifest than the one in force for
/// a while. Hosts that run keep the newer one; a host that starts learns of it here.
#[derive(Debug, Default)]
pub(crate) struct HeardGeneration(Mutex<Option<(Generation, Instant)>>);

impl HeardGeneration {
    /// Records the report of another host.
    pub(crate) fn on_report(&self, generation: Generation, now: Instant) {
        let current = self.get(now);
        if current.is_none_or(|current| current <= generation) {
            let mut heard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            *heard = Some((generation, now));
        }
    }

    /// The highest generation; none if no host has reported one recently.
    pub(crate) fn get(&self, now: Instant) -> Option<Generation> {
        let heard = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        heard
            .filter(|(_, at)| is_recent(*at))
            .map(|(generation, _)| generation)
    }
}
