//! The memory for bodies, for which bodies that stand still give way.

use std::time::Duration;

use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::http::ReservedBytes;
use crate::units::CustomerId;

/// The number of bodies that may give way to one.
const DISPLACED_MAX: usize = 64;
/// How long it takes at most until the memory of one is free.
const FREED_WITHIN: Duration = Duration::from_millis(5);

/// The memory for the body of a request of one customer, or of the response to it.
pub(crate) struct BodyMemory<'a> {
    pub(crate) gateway: &'a Gateway,
    /// The id of the request.
    pub(crate) request: &'a str,
    pub(crate) customer: Option<&'a CustomerId>,
}

impl BodyMemory<'_> {
    /// The size of the budget.
    pub(crate) fn max_bytes(&self) -> usize {
        self.gateway.held_bytes.max_bytes()
    }

    /// Reserves bytes such that `kept` stay free beside them. If there is no room, bodies that give way are
    /// refused. None if there still is none.
    pub(crate) async fn reserve(&self, len: usize, kept: usize) -> Option<ReservedBytes> {
        let budget = &self.gateway.held_bytes;
        for displaced in 0..DISPLACED_MAX {
            if let Some(reserved) = budget.reserve_beside(len, kept) {
                if displaced > 0 {
                    self.gateway.log.record(DecisionEvent::BodiesDisplaced {
                        request: self.request.to_owned(),
                        displaced,
                        held_bytes: budget.used_bytes(),
                    });
                }
                return Some(reserved);
            }
            let now = self.gateway.clock.now();
            let connections = &self.gateway.caller_connections;
            if !connections.refuse_body(self.customer, now) {
                return None;
            }
            tokio::time::sleep(FREED_WITHIN).await;
        }
        None
    }
}
