//! By which way news come.

use std::time::Duration;

use crate::units::HostId;

/// Ages that differ by less than this factor are told apart by nobody who reads a log.
const AGE_FACTOR: f64 = 1.5;

/// By which way news of other hosts come to a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateRoute {
    /// The host that passes on what other failure domains tell; none if all hosts tell each other, or
    /// if it is this one.
    pub collector: Option<HostId>,
    /// How old news of hosts of this host's domain are at most when nothing is lost.
    pub local_age_max: Duration,
    /// The same of hosts of other domains.
    pub remote_age_max: Duration,
}

impl UpdateRoute {
    /// Whether news come by another collector, or are older or younger by a factor that matters. The fleet
    /// grows and shrinks by a host at a time, and each moves the ages by a few ms.
    pub fn differs_noticeably_from(&self, other: &Self) -> bool {
        let is_other_age = |one: Duration, other: Duration| {
            let (less, more) = (one.min(other), one.max(other));
            more > less.mul_f64(AGE_FACTOR)
        };
        self.collector != other.collector
            || is_other_age(self.local_age_max, other.local_age_max)
            || is_other_age(self.remote_age_max, other.remote_age_max)
    }
}
