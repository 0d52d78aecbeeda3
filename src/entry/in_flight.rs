//! Counts requests that have not ended, and turns new ones away while draining.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Requests that have not ended.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    is_closed: AtomicBool,
}

/// One request that has not ended; dropping it ends it.
#[derive(Debug)]
pub struct InFlightGuard {
    inner: Arc<Inner>,
}

impl InFlightCounter {
    /// Counts a request in, unless the host takes no new ones.
    pub fn enter(&self) -> Option<InFlightGuard> {
        // Counted first and asked second, so that a drain that closes in between still waits for it.
        let guard = self.track();
        (!self.inner.is_closed.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Counts work that belongs to an earlier request.
    pub fn track(&self) -> InFlightGuard {
        self.inner.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            inner: Arc::clone(&self.inner),
        }
    }

    /// Takes no new requests from now on.
    pub fn close(&self) {
        self.inner.is_closed.store(true, Ordering::SeqCst);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.inner.count.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.inner.count.fetch_sub(1, Ordering::SeqCst);
    }
}
