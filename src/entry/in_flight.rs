//! Counts requests that have not ended, and rejects new ones while the host drains.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A counter of requests that have not ended. Its clones share one count.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter {
    state: Arc<InFlightState>,
}

/// The state that all clones of a counter and all of its guards share.
#[derive(Debug, Default)]
struct InFlightState {
    count: AtomicUsize,
    is_closed: AtomicBool,
}

/// Counts one request for as long as the guard is held.
#[derive(Debug)]
pub struct InFlightGuard {
    state: Arc<InFlightState>,
}

impl InFlightCounter {
    /// Counts a new request; none if the host accepts no new requests.
    pub fn enter(&self) -> Option<InFlightGuard> {
        // Counts before checking, so that a drain that closes in between still waits for this
        // request.
        let guard = self.track();
        (!self.state.is_closed.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Counts work that outlives its request, such as a cancellation. This also works after
    /// [`Self::close`].
    pub fn track(&self) -> InFlightGuard {
        self.state.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            state: Arc::clone(&self.state),
        }
    }

    /// Rejects new requests from now on.
    pub fn close(&self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
    }

    /// The number of guards that are held.
    pub fn count(&self) -> usize {
        self.state.count.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.count.fetch_sub(1, Ordering::SeqCst);
    }
}
