//! The restriction of a call, whose upstream is silent, to upstreams that are not.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether a call may be sent only to upstreams that are known to be able to take over. Shared with
/// what waits for the silent upstream: the restriction ends when that upstream is lost, also while
/// the call is being sent again.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbleOnly(Arc<AtomicBool>);

impl AbleOnly {
    pub(crate) fn set(&self, is_restricted: bool) {
        self.0.store(is_restricted, Ordering::Relaxed);
    }

    /// Ends the restriction.
    pub(crate) fn clear(&self) {
        self.set(false);
    }

    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
