//! The choice of the instance of a plain service that gets a call.
//!
//! The least busy instance gets the call, so that a slow or failing instance does not hold up calls
//! while others are idle. Instances in the host's own failure domain are preferred while they are
//! not busier, because traffic between domains is costly.

use crate::units::UpstreamId;

/// An instance in another failure domain is ranked as if it had this many calls more. A call takes
/// 60 ms and one way between domains 1 ms, so another call on a local instance costs more time than
/// it saves only when that instance is full.
const REMOTE_DOMAIN_PENALTY: u32 = 2;
/// A failing instance is ranked as if it had this many calls more, so that it comes after every
/// healthy instance with free capacity.
const FAILING_PENALTY: u32 = 1_000;

/// An instance that may get the call, as the choice sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// The id of the instance.
    pub id: UpstreamId,
    /// The calls of all hosts in flight at the instance.
    pub in_flight: u32,
    /// Whether the instance is in this host's failure domain.
    pub is_local: bool,
    /// Whether the instance fails many of its calls.
    pub is_failing: bool,
}

/// The instance to send the call to, or `None` if `instances` is empty: the one with the fewest
/// calls in flight from all hosts, where instances in other domains and failing instances count as
/// having extra calls. The random number `draw` breaks ties, so that hosts do not all choose the
/// first instance.
pub fn choose_instance(instances: &[InstanceView], draw: u32) -> Option<&UpstreamId> {
    let busyness = |instance: &InstanceView| {
        let domain_penalty = if instance.is_local {
            0
        } else {
            REMOTE_DOMAIN_PENALTY
        };
        let failing_penalty = if instance.is_failing {
            FAILING_PENALTY
        } else {
            0
        };
        instance.in_flight + domain_penalty + failing_penalty
    };
    let best = instances.iter().map(busyness).min()?;
    let equals: Vec<&InstanceView> = instances.iter().filter(|i| busyness(i) == best).collect();
    let index = usize::try_from(draw).unwrap_or(0) % equals.len();
    Some(&equals[index].id)
}
