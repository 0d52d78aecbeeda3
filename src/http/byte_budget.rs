//! A bound on the memory that a host holds for others.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::units::ByteSize;

/// The memory that one semaphore permit stands for. The semaphore takes at most 2^32 - 1 permits in
/// one call, so a permit for each byte would limit a single body to 4 GiB.
const PERMIT_BYTES: usize = 1 << 10;

/// A number of bytes that may be held at the same time, for all calls of a host.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    permits: Arc<Semaphore>,
    permits_max: usize,
}

/// Bytes that are reserved until this is dropped.
#[derive(Debug)]
pub struct ReservedBytes(OwnedSemaphorePermit);

impl ByteBudget {
    /// Creates a budget of this size.
    pub fn new(size: ByteSize) -> Self {
        let permits_max = (size.as_usize() / PERMIT_BYTES).min(Semaphore::MAX_PERMITS);
        Self {
            permits: Arc::new(Semaphore::new(permits_max)),
            permits_max,
        }
    }

    /// The number of bytes that are reserved now.
    pub fn used_bytes(&self) -> usize {
        (self.permits_max - self.permits.available_permits()) * PERMIT_BYTES
    }

    /// The size of the budget.
    pub fn max_bytes(&self) -> usize {
        self.permits_max * PERMIT_BYTES
    }

    /// Reserves bytes without waiting; none if the budget is used up.
    pub fn reserve(&self, len: usize) -> Option<ReservedBytes> {
        self.reserve_beside(len, 0)
    }

    /// The same if `kept` bytes stay free beside them.
    pub fn reserve_beside(&self, len: usize, kept: usize) -> Option<ReservedBytes> {
        let free = self.permits.available_permits() * PERMIT_BYTES;
        if len.saturating_add(kept) > free {
            return None;
        }
        let permits = u32::try_from(len.div_ceil(PERMIT_BYTES)).ok()?;
        let permit = Arc::clone(&self.permits).try_acquire_many_owned(permits);
        permit.ok().map(ReservedBytes)
    }
}

impl ReservedBytes {
    /// Adds another reservation of the same budget.
    pub fn merge(&mut self, other: Self) {
        self.0.merge(other.0);
    }
}
