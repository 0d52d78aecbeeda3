//! By which way news come.

use std::time::Duration;

use crate::units::HostId;

/// By which way news of other hosts come to a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewsRoute {
    /// The host that passes on what other failure domains tell; none if all hosts tell each other, or
    /// if it is this one.
    pub collector: Option<HostId>,
    /// How old news of hosts of this host's domain are at most when nothing is lost.
    pub near_age: Duration,
    /// The same of hosts of other domains.
    pub far_age: Duration,
}
