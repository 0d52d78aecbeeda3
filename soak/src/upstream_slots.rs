//! The slots of a stand-in for an upstream.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The slots of an upstream and the places in its queue, of which there are as many.
pub(crate) struct UpstreamSlots {
    slots: Arc<Semaphore>,
    /// One permit for each slot and each place in the queue.
    places: Arc<Semaphore>,
}

/// A slot that is in use until this is dropped.
pub(crate) struct Slot {
    _slot: OwnedSemaphorePermit,
    _place: OwnedSemaphorePermit,
}

/// All slots are in use, and the queue is full.
pub(crate) struct NoSlot;

impl UpstreamSlots {
    /// Creates this number of free slots.
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            places: Arc::new(Semaphore::new(2 * slots)),
        }
    }

    /// Waits for a slot, first come, first served. Fails at once if the queue is full.
    pub(crate) async fn take(&self) -> Result<Slot, NoSlot> {
        let place = Arc::clone(&self.places).try_acquire_owned();
        let place = place.map_err(|_| NoSlot)?;
        let slot = Arc::clone(&self.slots).acquire_owned().await;
        Ok(Slot {
            _slot: slot.map_err(|_| NoSlot)?,
            _place: place,
        })
    }
}
