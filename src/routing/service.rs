//! A service as described by the manifest.

use crate::decide::EngineModel;
use crate::units::ServiceId;

/// The properties that all upstreams of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The performance model of the service's engines; none for a plain service.
    pub engine: Option<EngineModel>,
}
