//! The figures by which the share of a customer is determined.

use crate::decide::ShareStanding;

/// The multiple of its usual demand that each customer may want within its share.
const USUAL_TOLERANCE: f64 = 1.5;
/// The number of standard deviations by which a customer may exceed its usual demand within its
/// share. The demand of a customer with few or unequal calls varies from second to second by more
/// than [`USUAL_TOLERANCE`].
const DEVIATIONS: f64 = 3.0;

/// The demand of one customer for a service and what its share is derived from. All rates are
/// engine time per second, over all hosts, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareFigures {
    /// What the customer wants.
    pub wanted_us_per_s: f64,
    /// What is used for the customer's calls.
    pub used_us_per_s: f64,
    /// What the customer usually wants.
    pub usual_us_per_s: f64,
    /// The engine time of a call at the usual demand, as a mean weighted by engine time, in
    /// microseconds.
    pub usual_call_us: f64,
    /// What is used for the calls of all customers, divided by the number of customers that want
    /// something.
    pub equal_part_us_per_s: f64,
    /// What the other customers want, divided by what they usually want; at least 1.
    pub growth_of_others: f64,
    /// What the other customers want; of each, no more than a multiple of its usual demand counts.
    pub wanted_by_others_us_per_s: f64,
}

impl ShareFigures {
    /// The share of the customer: the larger of an equal part and what it wants in a busy second of
    /// its usual demand, which grows as the demand of the others grows.
    pub fn share_us_per_s(&self) -> f64 {
        let tolerated = self.usual_us_per_s * USUAL_TOLERANCE;
        let varied = self.usual_us_per_s + self.deviation_us_per_s() * DEVIATIONS;
        let busy = tolerated.max(varied) + self.usual_call_us;
        self.equal_part_us_per_s
            .max(busy * self.growth_of_others.max(1.0))
    }

    /// The standard deviation of the demand within one second, for calls that arrive independently
    /// of each other.
    fn deviation_us_per_s(&self) -> f64 {
        (self.usual_us_per_s * self.usual_call_us).sqrt()
    }

    /// The fraction of what the customer wants that a service has left beside the other customers;
    /// at least the customer's share, and at most 1. `capacity_us_per_s` is what the service has for
    /// all customers.
    pub fn fitting_fraction(&self, capacity_us_per_s: f64) -> f64 {
        let left = capacity_us_per_s - self.wanted_by_others_us_per_s;
        let fitting = left.max(self.share_us_per_s());
        if self.wanted_us_per_s <= fitting {
            return 1.0;
        }
        fitting / self.wanted_us_per_s
    }

    /// The customer's demand compared with its share; within it if no share can be derived yet.
    pub fn standing(&self) -> ShareStanding {
        self.standing_of(self.wanted_us_per_s)
    }

    /// The customer's standing before a call that has just arrived, which is part of its demand. One
    /// prompt of a million tokens takes an engine longer than all other calls of a second, and does
    /// not make its customer exceed its share by itself.
    pub fn standing_before(&self, call_us: f64) -> ShareStanding {
        self.standing_of((self.wanted_us_per_s - call_us).max(0.0))
    }

    fn standing_of(&self, wanted_us_per_s: f64) -> ShareStanding {
        let share = self.share_us_per_s();
        if share <= 0.0 {
            return ShareStanding::within();
        }
        ShareStanding {
            ratio: wanted_us_per_s / share,
        }
    }
}
