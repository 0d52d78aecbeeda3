//! Chooses the instance of a plain service for the next send of a call.

use std::num::NonZeroU32;
use std::time::Duration;
use std::time::Instant;

use crate::decide::InstanceChoice;
use crate::decide::InstanceView;
use crate::decide::RefuseReason;
use crate::decide::RequestLoad;
use crate::decide::SlotCompetition;
use crate::decide::choose_instance;
use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::limit_states::LimitStates;
use crate::gateway::placement::PlacementDecision;
use crate::gateway::placement::SendHistory;
use crate::gateway::placement::SendPlan;
use crate::gateway::placement::find_upstream;
use crate::gateway::placement::no_upstream;
use crate::gateway::placement::patience;
use crate::gateway::placement::refuse;
use crate::units::Tokens;

/// Chooses an instance of a plain service. While all instances are full, the call waits as long as
/// it can still be on time, and one that is late before it waits takes its place in the queue of
/// the instance with the fewest calls.
pub(super) fn decide_among_instances(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    usable: &[&ListedUpstream],
    limits: &LimitStates,
    now: Instant,
) -> PlacementDecision {
    let views = instance_views(gateway, call, usable, limits, now);
    let competition = slot_competition(gateway, sends);
    let mut choice = choose_instance(&views, competition, rand::random());
    if let InstanceChoice::Wait(wait) = choice {
        if can_wait_for_slot(call, sends, &views, wait, now) {
            return PlacementDecision::Wait(wait);
        }
        // This is the last try, whatever the calls of other hosts do.
        choice = choose_instance(&views, None, rand::random());
    }
    let upstream = match choice {
        InstanceChoice::Send(id) => find_upstream(usable, &id),
        InstanceChoice::Wait(_) if is_late_before_waiting(call, sends, now) => {
            let least_busy = views.iter().min_by_key(|view| view.in_flight);
            least_busy.and_then(|view| find_upstream(usable, &view.id))
        }
        InstanceChoice::Wait(wait) => return refuse(RefuseReason::QueueFull, wait),
        InstanceChoice::None => None,
    };
    let Some(upstream) = upstream else {
        return no_upstream();
    };
    let load = RequestLoad {
        takes_slot: true,
        is_short: false,
        pause: None,
        prefill_time: Duration::ZERO,
        held_tokens: Tokens::ZERO,
        helper_release: None,
        prefill_due: None,
    };
    PlacementDecision::Send(Box::new(SendPlan {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        reservations: Vec::new(),
        loads: vec![(upstream.id.clone(), load)],
        forecast: Duration::ZERO,
        limit: None,
        excluded: None,
    }))
}

/// The current state of the instances of a plain service as this host knows it.
fn instance_views(
    gateway: &Gateway,
    call: &Call,
    usable: &[&ListedUpstream],
    limits: &LimitStates,
    now: Instant,
) -> Vec<InstanceView> {
    let routes = gateway.platform_view.routes();
    let service = routes
        .as_ref()
        .and_then(|routes| routes.services.get(&call.service));
    let connections_max = service.and_then(|service| service.connections_max);
    let health = gateway.health();
    let ledger = gateway.ledger();
    let open = usable
        .iter()
        .filter(|upstream| limits.is_open(&upstream.id));
    let views = open.map(|upstream| InstanceView {
        id: upstream.id.clone(),
        in_flight: ledger.load(&upstream.id, now).in_flight,
        slots: NonZeroU32::new(upstream.slots),
        connections_max,
        service_time: health.service_time(&upstream.id, now),
        is_local: upstream.domain == gateway.conf.domain,
        is_failing: health.is_failing(&upstream.id),
    });
    views.collect()
}

/// The hosts that compete for free slots with a call that has waited; none if the call has not.
fn slot_competition(gateway: &Gateway, sends: &SendHistory<'_>) -> Option<SlotCompetition> {
    sends.has_waited_for_slot.then(|| SlotCompetition {
        hosts: u32::try_from(gateway.platform_view.sharing_hosts().unwrap_or(1))
            .unwrap_or(u32::MAX),
        draw: rand::random(),
    })
}

/// Whether a call is late without having waited for a slot, because of its earlier sends.
fn is_late_before_waiting(call: &Call, sends: &SendHistory<'_>, now: Instant) -> bool {
    call.objective_left(now).is_zero() && !sends.has_waited_for_slot
}

/// Whether a call can still be on time when there is room at an instance, which is expected after
/// `wait`.
fn can_wait_for_slot(
    call: &Call,
    sends: &SendHistory<'_>,
    views: &[InstanceView],
    wait: Duration,
    now: Instant,
) -> bool {
    let service_time = views.iter().filter_map(|view| view.service_time).min();
    wait + service_time.unwrap_or_default() <= patience(call, sends, now)
}
