//! The bound on open connections of callers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the open connections of callers. Each also needs a descriptor towards an upstream while it
/// has a request, so a host that took connections without bound could no longer serve the requests
/// that it has read.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: Arc<AtomicUsize>,
    is_full: AtomicBool,
}

/// What happens to a new connection.
#[derive(Debug)]
pub(crate) enum ConnectionDecision {
    /// The connection is served, and counts as open until the guard is dropped.
    Serve(OpenConnection),
    /// The connection is closed unread, so that the caller tries another host at once. Tells whether
    /// it is the first one since a connection was served.
    Close {
        /// Whether the connection before this one was served.
        is_first: bool,
    },
}

impl CallerConnections {
    /// Decides on a new connection where at most `max` may be open.
    pub(crate) fn on_accepted(&self, max: usize) -> ConnectionDecision {
        if self.open.load(Ordering::Relaxed) >= max {
            let is_first = !self.is_full.swap(true, Ordering::Relaxed);
            return ConnectionDecision::Close { is_first };
        }
        self.is_full.store(false, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        ConnectionDecision::Serve(OpenConnection(Arc::clone(&self.open)))
    }

    /// The number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// A guard that counts one connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
