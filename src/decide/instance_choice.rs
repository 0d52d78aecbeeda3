//! Which instance of a plain service gets a call.
//!
//! Load it answers: one instance is slow or fails while the others idle. The least busy one gets the
//! call; instances of the caller's own failure domain come first while they are not busier, since
//! bytes between domains cost.

use crate::units::UpstreamId;

/// How many calls an instance of the own failure domain may have more than one elsewhere and still
/// be preferred. A call takes 60 ms, a way between domains 1 ms: one call more costs more than it
/// saves only when the instance is full.
const OWN_DOMAIN_BONUS: u32 = 2;
/// As if it were this much busier: an instance that fails many calls comes after every sound one
/// that has a free place.
const FAILING_PENALTY: u32 = 1_000;

/// An instance that may get the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Its id.
    pub id: UpstreamId,
    /// Calls of all hosts that are there.
    pub in_flight: u32,
    /// Whether it stands in this host's failure domain.
    pub is_near: bool,
    /// Whether it fails many of its calls.
    pub is_failing: bool,
}

/// The instance to send to; none if there is none. Equals are told apart by `draw`, so that hosts
/// do not all choose the first.
pub fn choose_instance(instances: &[InstanceView], draw: u32) -> Option<&UpstreamId> {
    let rank = |instance: &InstanceView| {
        let near_bonus = if instance.is_near {
            0
        } else {
            OWN_DOMAIN_BONUS
        };
        let penalty = if instance.is_failing {
            FAILING_PENALTY
        } else {
            0
        };
        instance.in_flight + near_bonus + penalty
    };
    let best = instances.iter().map(rank).min()?;
    let equals: Vec<&InstanceView> = instances.iter().filter(|i| rank(i) == best).collect();
    let index = usize::try_from(draw).unwrap_or(0) % equals.len();
    Some(&equals[index].id)
}
