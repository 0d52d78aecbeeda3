//! A service as the manifest describes it.

use crate::decide::EngineModel;
use crate::units::ServiceId;

/// What is known of all upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// How its engines work; none for a plain service.
    pub engine: Option<EngineModel>,
}
