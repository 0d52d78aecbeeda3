//! By which way news come.

use std::time::Duration;

use crate::units::HostId;

/// By which way news of other hosts come to a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewsRoute {
    /// The host that passes them on; none if the hosts tell each other, or if it is this one.
    pub collector: Option<HostId>,
    /// How old they are at most when nothing is lost.
    pub age: Duration,
}
