//! Stops the work of a stand-in for an upstream while it is silent.

use std::pin::pin;

use tokio::sync::watch;

use crate::history::Timestamp;

/// Pauses the connections of an upstream while any silence lasts, like a process that is paused:
/// the system goes on accepting connections and bytes for it.
#[derive(Default)]
pub(crate) struct SilenceGate {
    state: watch::Sender<SilenceState>,
}

/// The silences of an upstream. Silences that overlap count as one from the start of the first to
/// the end of the last.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceState {
    /// Number of silences that last.
    lasting: u32,
    /// When the latest silence started.
    started_at: Timestamp,
    /// When the latest silence that is over ended; zero before the first.
    ended_at: Timestamp,
}

impl SilenceGate {
    /// Starts a silence.
    pub(crate) fn start(&self, now: Timestamp) {
        self.state.send_modify(|state| {
            if state.lasting == 0 {
                state.started_at = now;
            }
            state.lasting += 1;
        });
    }

    /// Ends one of the silences that last.
    pub(crate) fn end(&self, now: Timestamp) {
        self.state.send_modify(|state| {
            state.lasting = state.lasting.saturating_sub(1);
            state.ended_at = now;
        });
    }

    /// Runs `work` to its end, but makes no progress during a silence.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let mut state = self.state.subscribe();
        let mut work = pin!(work);
        loop {
            let _ = state.wait_for(|state| state.lasting == 0).await;
            tokio::select! {
                biased;
                _ = state.wait_for(|state| state.lasting > 0) => {}
                output = &mut work => return output,
            }
        }
    }

    /// Returns when a request that is read at `now` can have arrived at the earliest, on a connection
    /// that was accepted at `accepted_at`.
    pub(crate) fn earliest_arrival(&self, accepted_at: Timestamp, now: Timestamp) -> Timestamp {
        let state = *self.state.borrow();
        if state.ended_at > accepted_at {
            state.started_at.max(accepted_at)
        } else {
            now
        }
    }
}
