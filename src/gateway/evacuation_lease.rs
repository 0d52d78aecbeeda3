//! The lease on this host's knowledge of the evacuations.
//!
//! Within a bounded time after operators evacuate a failure domain, no host in contact with the
//! platform may send requests there. So a host in contact sends nothing by evacuations that it has
//! not confirmed for most of that time, whichever failure domain the upstream is in: any of them may
//! be evacuated. A host that is cut off goes on by what it knows.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::decide::ContactTracker;
use crate::decide::LeaseState;
use crate::gateway::DecisionEvent;
use crate::gateway::Freshness;
use crate::gateway::Gateway;
use crate::units::whole_millis;

/// The contact with the platform, and the state of the lease that was logged last.
#[derive(Debug)]
struct LeaseRecord {
    contact: ContactTracker,
    logged: LeaseState,
}

/// The lease on the evacuations.
#[derive(Debug)]
pub(crate) struct EvacuationLease(Mutex<LeaseRecord>);

impl Default for EvacuationLease {
    fn default() -> Self {
        Self(Mutex::new(LeaseRecord {
            contact: ContactTracker::default(),
            logged: LeaseState::Held,
        }))
    }
}

impl EvacuationLease {
    /// Records that at this time this host reached the platform, or heard a host that has fresh
    /// lists.
    pub(crate) fn on_contact(&self, at: Instant) {
        self.lock().contact.on_contact(at);
    }

    fn lock(&self) -> MutexGuard<'_, LeaseRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// The time since this host's evacuations were last confirmed; none if it has not read them.
    pub fn evacuations_age(&self) -> Option<Duration> {
        self.evacuations_freshness().age(self.clock.since_boot())
    }

    /// Whether this host's evacuations allow it to send requests, which they also do where there are
    /// no evacuations. Changes are logged.
    pub(crate) fn may_send_by_evacuations(&self) -> bool {
        self.evacuation_lease_state().allows_sends()
    }

    /// The state of the lease on the evacuations, which is logged if it has changed. It is held
    /// before the first read, since a host without a list sends nothing for that reason.
    pub(crate) fn evacuation_lease_state(&self) -> LeaseState {
        let Some(lease) = self.conf.evacuation_lease else {
            return LeaseState::Held;
        };
        let freshness = self.evacuations_freshness();
        let Some(age) = freshness.age(self.clock.since_boot()) else {
            return LeaseState::Held;
        };
        let is_recent = freshness.holds_lease(Some(lease), self.clock.since_boot());
        let mut record = self.evacuation_lease.lock();
        let contact = record.contact.lasts(self.clock.now());
        let state = LeaseState::of(is_recent, contact);
        let before = std::mem::replace(&mut record.logged, state);
        drop(record);
        if before != state {
            self.log.record(DecisionEvent::EvacuationLease {
                state: state.name().into(),
                age_ms: whole_millis(age),
                lease_ms: whole_millis(lease),
                contact_ms: contact.map(whole_millis),
            });
        }
        state
    }

    fn evacuations_freshness(&self) -> Freshness {
        Freshness::confirmed_at(self.catalog_cache.evacuations_confirmed_at())
    }
}
