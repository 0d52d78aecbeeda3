//! A service as described by the manifest.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::decide::EngineModel;
use crate::units::RequestsPerSecond;
use crate::units::ServiceId;

/// What upstreams of a service accept while they are cold, which they are after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// How long an upstream is cold after its start.
    pub time: Duration,
    /// The requests a second that a cold upstream accepts from all hosts together; none if it
    /// accepts any number.
    pub rate: Option<RequestsPerSecond>,
}

/// The properties that all upstreams of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The performance model of the service's engines; none for a plain service.
    pub engine: Option<EngineModel>,
    /// The number of connections that an upstream accepts from all hosts together; none if it
    /// accepts any number.
    pub connections_max: Option<NonZeroU32>,
    /// What cold upstreams accept.
    pub cold: ColdStart,
}
