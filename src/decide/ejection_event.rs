//! A change in the use of an upstream, with the outcomes that decided it.

use crate::decide::EjectionChange;
use crate::decide::FleetOutcomes;
use crate::decide::OutcomeSums;
use crate::decide::ServiceMember;
use crate::units::UpstreamId;

/// A change with what decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionEvent {
    /// The id of the upstream.
    pub upstream: UpstreamId,
    /// The change.
    pub change: EjectionChange,
    /// The outcomes of the upstream.
    pub outcomes: FleetOutcomes,
    /// The outcomes of the rest of the service, without the upstreams that fail too many calls.
    pub rest: OutcomeSums,
}

impl EjectionEvent {
    /// The change of a member of a service whose other members have these outcomes.
    pub(crate) fn new(member: &ServiceMember, change: EjectionChange, rest: OutcomeSums) -> Self {
        Self {
            upstream: member.id.clone(),
            change,
            outcomes: member.outcomes,
            rest,
        }
    }
}
