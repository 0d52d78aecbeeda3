//! The route on which updates reach a host.

use std::time::Duration;

use crate::units::BoundedTime;
use crate::units::HostId;

/// The maximum factor between two ages that are not noticeably different. A smaller change is not
/// worth a log line.
const AGE_FACTOR: f64 = 1.5;

/// The route on which updates of other hosts reach a host, and how old they are on arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateRoute {
    /// The collector that relays updates of other failure domains; none if all hosts send to each
    /// other, or if this host is the collector.
    pub collector: Option<HostId>,
    /// The maximum age of updates of the host's own failure domain if no message is lost.
    pub local_age_max: Duration,
    /// The maximum age of updates of other failure domains if no message is lost.
    pub remote_age_max: Duration,
}

impl UpdateRoute {
    /// Whether updates come through another collector, or one of their maximum ages differs by a
    /// factor of more than 1.5. The fleet grows and shrinks by one host at a time, and each step
    /// changes the ages by a few milliseconds only.
    pub fn differs_noticeably_from(&self, other: &Self) -> bool {
        let is_other_age = |one: Duration, other: Duration| {
            let (less, more) = (one.min(other), one.max(other));
            more > less.scaled(AGE_FACTOR)
        };
        self.collector != other.collector
            || is_other_age(self.local_age_max, other.local_age_max)
            || is_other_age(self.remote_age_max, other.remote_age_max)
    }
}
