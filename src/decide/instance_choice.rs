//! The choice of the instance of a plain service that gets a call.
//!
//! The instance with the shortest expected time gets the call, so that a slow or failing instance
//! does not hold up calls while others are idle. Instances in the host's own failure domain are
//! preferred while they are not busier, because traffic between domains is costly. If no instance
//! has a free slot, the call waits here: an instance turns away calls beyond a short queue of its
//! own.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::units::BoundedTime;
use crate::units::UpstreamId;

/// An instance in another failure domain is ranked as if it had this many calls more. A call takes
/// 60 ms and one way between domains 1 ms, so another call on a local instance costs more time than
/// it saves only when that instance is full.
const REMOTE_DOMAIN_PENALTY: u32 = 2;
/// Mean service times that differ by less than this factor count as equal: the means come from few
/// calls, and calls differ.
const SLOWER_FACTOR_MIN: f64 = 1.5;
/// The number of slots that is assumed if no instance lists its slots.
const SLOTS_DEFAULT: u32 = 16;
/// The service time that is assumed if none is known.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(60);
/// The fraction of the connections of an instance that is left to connections of other hosts that
/// this host does not know of yet. At least one connection is left.
const CONNECTIONS_KEPT_FRACTION: u32 = 8;
/// The shortest wait for a slot. Ends of calls are known at other hosts after several times this.
const WAIT_MIN: Duration = Duration::from_millis(5);
/// The longest wait for a slot before the instances are compared again: several updates of the
/// other hosts.
const WAIT_MAX: Duration = Duration::from_millis(250);

/// An instance that may get the call, as the choice sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// The id of the instance.
    pub id: UpstreamId,
    /// The calls of all hosts in flight at the instance, each on a connection of its own.
    pub in_flight: u32,
    /// The number of calls that the instance processes concurrently; none if unknown, then calls
    /// never wait for a slot of the instance.
    pub slots: Option<NonZeroU32>,
    /// The number of connections that the instance accepts from all hosts; none if unknown.
    pub connections_max: Option<NonZeroU32>,
    /// The mean time of the instance's recent answers; none if too few are known. The instance then
    /// counts as one of the fastest.
    pub service_time: Option<Duration>,
    /// Whether the instance is in this host's failure domain.
    pub is_local: bool,
    /// Whether the instance fails many of its calls.
    pub is_failing: bool,
}

impl InstanceView {
    /// Whether the instance has a free slot and accepts one more connection, as far as is known.
    ///
    /// The queue of the instance is left to calls that other hosts send at the same moment.
    fn has_room(&self) -> bool {
        let has_slot = self.slots.is_none_or(|slots| self.in_flight < slots.get());
        let has_connection = self
            .connections_max
            .is_none_or(|max| self.in_flight < connections_used_max(max));
        has_slot && has_connection
    }

    /// The number of free slots; none if the slots are unknown.
    fn free_slots(&self) -> Option<u32> {
        let slots = self.slots?.get();
        Some(slots.saturating_sub(self.in_flight))
    }

    /// The calls in flight that the instance counts as having.
    fn ranked_calls(&self) -> u32 {
        if self.is_local {
            self.in_flight
        } else {
            self.in_flight.saturating_add(REMOTE_DOMAIN_PENALTY)
        }
    }
}

/// What to do with a call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceChoice {
    /// Send the call to this instance.
    Send(UpstreamId),
    /// All instances are full. Decide again after this time, about the time until one has room.
    Wait(Duration),
    /// There are no instances.
    None,
}

/// The hosts that choose for a call that waits, at the same moment and by the same loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCompetition {
    /// The number of these hosts, this one included.
    pub hosts: u32,
    /// A random number.
    pub draw: u32,
}

impl SlotCompetition {
    /// Whether this host takes one of the free slots, so that all hosts together take about as many
    /// as are free.
    fn is_won(self, free_slots: u32) -> bool {
        self.draw % self.hosts.max(1) < free_slots
    }
}

/// The instances of one choice, with what they are compared by.
struct Comparison<'a> {
    instances: &'a [InstanceView],
    /// The shortest known service time; none if none is known.
    fastest: Option<Duration>,
    /// The slots of an instance that lists none.
    slots_default: u32,
}

impl<'a> Comparison<'a> {
    fn new(instances: &'a [InstanceView]) -> Self {
        let listed_slots = instances.iter().filter_map(|instance| instance.slots);
        Self {
            instances,
            fastest: instances.iter().filter_map(|i| i.service_time).min(),
            slots_default: listed_slots.max().map_or(SLOTS_DEFAULT, NonZeroU32::get),
        }
    }

    /// The expected time of a call at the instance, in units of the time at the fastest one while
    /// idle. An instance takes longer as its slots fill up.
    fn expected_time(&self, instance: &InstanceView) -> f64 {
        let slots = instance.slots.map_or(self.slots_default, NonZeroU32::get);
        let used = f64::from(instance.ranked_calls()) / f64::from(slots);
        self.slowness(instance) * (1.0 + used)
    }

    /// How many times longer the instance takes than the fastest one; 1 if the difference may be
    /// due to chance.
    fn slowness(&self, instance: &InstanceView) -> f64 {
        let (Some(time), Some(fastest)) = (instance.service_time, self.fastest) else {
            return 1.0;
        };
        let factor = time.as_secs_f64() / fastest.as_secs_f64().max(f64::MIN_POSITIVE);
        if factor < SLOWER_FACTOR_MIN {
            1.0
        } else {
            factor
        }
    }

    /// The instances with room that the call may be sent to: the healthy ones, or the failing ones
    /// if all others are full.
    fn open(&self) -> Vec<&'a InstanceView> {
        let open = || self.instances.iter().filter(|i| i.has_room());
        let is_failing = open().all(|instance| instance.is_failing);
        open().filter(|i| i.is_failing == is_failing).collect()
    }

    /// The open instance that gets the call; none if none is open, or if the free slots are left to
    /// the competing hosts.
    fn choose(&self, competition: Option<SlotCompetition>, draw: u32) -> Option<&'a InstanceView> {
        let open = self.open();
        match self.crowded(&open) {
            Some(crowded) => {
                let free = total(crowded.iter().map(|i| i.free_slots())).unwrap_or(0);
                let may_send = competition.is_none_or(|competition| competition.is_won(free));
                may_send
                    .then(|| choose_by_free_slots(&crowded, draw))
                    .flatten()
            }
            None => self.choose_by_expected_time(&open, draw),
        }
    }

    /// The fast ones among the open instances, if all list their slots and most of the slots of the
    /// fast instances are taken. Other hosts that know the same loads would then all choose the
    /// instance with the shortest expected time, and overrun it.
    fn crowded(&self, open: &[&'a InstanceView]) -> Option<Vec<&'a InstanceView>> {
        let is_fast = |instance: &&&InstanceView| self.slowness(instance) <= 1.0;
        let fast: Vec<&InstanceView> = open.iter().filter(is_fast).copied().collect();
        let free = total(fast.iter().map(|instance| instance.free_slots()))?;
        let of_same_kind = self.instances.iter().filter(|instance| {
            let is_of_kind = |open: &&&InstanceView| open.is_failing == instance.is_failing;
            open.iter().any(|open| is_of_kind(&open)) && self.slowness(instance) <= 1.0
        });
        let slots = total(of_same_kind.map(|instance| instance.slots.map(NonZeroU32::get)))?;
        (free > 0 && free.saturating_mul(2) < slots).then_some(fast)
    }

    /// A random one of the instances of the shortest expected time.
    fn choose_by_expected_time(
        &self,
        open: &[&'a InstanceView],
        draw: u32,
    ) -> Option<&'a InstanceView> {
        let times: Vec<f64> = open.iter().map(|i| self.expected_time(i)).collect();
        let shortest = times.iter().copied().min_by(f64::total_cmp)?;
        let best = open.iter().zip(&times);
        let best = best.filter(|(_, time)| **time <= shortest);
        let best: Vec<&InstanceView> = best.map(|(instance, _)| *instance).collect();
        let index = usize::try_from(draw).unwrap_or(0) % best.len();
        best.get(index).copied()
    }

    /// The time until one of the full instances has room: until the calls beyond the slots have
    /// ended, and one more, at the pace at which each instance ends its calls.
    fn time_to_room(&self) -> Duration {
        let waits = self.instances.iter().map(|instance| {
            let slots = instance.slots.map_or(self.slots_default, NonZeroU32::get);
            let service_time = instance
                .service_time
                .or(self.fastest)
                .unwrap_or(SERVICE_TIME_DEFAULT);
            let surplus = instance.in_flight.saturating_sub(slots) + 1;
            service_time.scaled(f64::from(surplus) / f64::from(slots))
        });
        let wait = waits.min().unwrap_or_default();
        wait.clamp(WAIT_MIN, WAIT_MAX)
    }
}

/// Chooses the instance to send the call to: the one with the shortest expected time among those
/// with room, where instances in other domains count as having extra calls, and failing instances
/// come last. The random number `draw` breaks ties, so that hosts do not all choose the first
/// instance.
///
/// Once most slots are taken, a random one of the fast instances is chosen, by their free slots. A
/// call that has waited before then waits again if the slots are left to the other hosts of
/// `competition`, whose calls wait as well; none for a call that has just arrived.
pub fn choose_instance(
    instances: &[InstanceView],
    competition: Option<SlotCompetition>,
    draw: u32,
) -> InstanceChoice {
    if instances.is_empty() {
        return InstanceChoice::None;
    }
    let comparison = Comparison::new(instances);
    match comparison.choose(competition, draw) {
        Some(instance) => InstanceChoice::Send(instance.id.clone()),
        None => InstanceChoice::Wait(comparison.time_to_room()),
    }
}

/// A random one of the instances, each as likely as it has free slots.
fn choose_by_free_slots<'a>(instances: &[&'a InstanceView], draw: u32) -> Option<&'a InstanceView> {
    let free = |instance: &&InstanceView| instance.free_slots().unwrap_or(0);
    let sum: u32 = instances.iter().map(free).sum();
    let mut rest = draw.checked_rem(sum)?;
    for instance in instances {
        let free = free(instance);
        if rest < free {
            return Some(instance);
        }
        rest -= free;
    }
    None
}

/// The sum of the numbers; none if one is unknown.
fn total(mut numbers: impl Iterator<Item = Option<u32>>) -> Option<u32> {
    numbers.try_fold(0_u32, |sum, number| Some(sum.saturating_add(number?)))
}

/// The number of connections to one instance that this host lets all hosts use.
fn connections_used_max(connections_max: NonZeroU32) -> u32 {
    let max = connections_max.get();
    let kept = (max / CONNECTIONS_KEPT_FRACTION).max(1);
    (max - kept).max(1)
}
