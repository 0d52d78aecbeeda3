//! What one customer wants and uses of a service, as reported by a host or a failure domain.

use std::time::Duration;

use crate::units::CustomerHash;
use crate::units::ServiceHash;

/// What a customer, or several customers together, want and use of a service, as reported by a host
/// or a failure domain. All rates are engine time per second, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerUse {
    /// The service.
    pub service: ServiceHash,
    /// The customer; none for customers that are reported together.
    pub customer: Option<CustomerHash>,
    /// The number of customers that want something of the service; 0 if not reported.
    pub customers: u32,
    /// What arrived at the sender, or in its failure domain, within the last second.
    pub wanted_us_per_s: u64,
    /// What was sent to upstreams.
    pub used_us_per_s: u64,
    /// What the customer usually wants, over all hosts.
    pub usual_us_per_s: u64,
    /// The engine time of a call within `wanted_us_per_s`, as a mean weighted by engine time.
    pub call_us: u64,
    /// The engine time of the customer's calls at its usual demand, as a mean weighted by engine
    /// time.
    pub usual_call_us: u64,
    /// For how long the usual demand has been learned.
    pub learned: Duration,
}

impl CustomerUse {
    /// The sum of the squared engine times of the wanted calls, in milliseconds times microseconds
    /// per second.
    pub(crate) fn wanted_squared(&self) -> u64 {
        self.wanted_us_per_s.saturating_mul(self.call_us) / 1_000
    }
}
