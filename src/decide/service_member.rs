//! An upstream of a service, compared with the others by the outcomes of its calls.

use crate::decide::FleetOutcomes;
use crate::units::UpstreamId;

/// An upstream of a service, as the evaluation sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceMember {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The outcomes of its recent calls.
    pub outcomes: FleetOutcomes,
    /// Whether it may be used apart from its outcomes.
    pub is_usable: bool,
}
