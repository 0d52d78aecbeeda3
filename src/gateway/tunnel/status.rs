//! Whether a tunnel is lost.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether a tunnel has ended before the connection of the upstream was known to have.
#[derive(Clone, Debug, Default)]
pub(crate) struct TunnelStatus(Arc<AtomicBool>);

impl TunnelStatus {
    pub(crate) fn is_lost(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn set_lost(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
