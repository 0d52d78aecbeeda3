//! Chooses the upstreams for the next send of a call, based on the current state of this host.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CallLane;
use crate::decide::EngineModel;
use crate::decide::RefuseReason;
use crate::decide::RequestLoad;
use crate::decide::ShareStanding;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::choose_engines;
use crate::decide::engines::count_engines;
use crate::gateway::Call;
use crate::gateway::CallRefusal;
use crate::gateway::EngineCountsRecord;
use crate::gateway::ExcludedRecord;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::ListedUpstream;
use crate::gateway::RateLimitRecord;
use crate::gateway::admission::check_engine_room;
use crate::gateway::candidates::Candidates;
use crate::gateway::candidates::ServiceBackoff;
use crate::gateway::instance_placement::decide_among_instances;
use crate::gateway::limit_states::LimitStates;
use crate::gateway::reservation::EngineReservation;
use crate::routing::RouteTable;
use crate::units::UpstreamId;

/// The time after which a caller should retry when no upstream is left to try. The upstream list is
/// read more often than this.
pub(crate) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a caller should retry at upstreams that advertise a limit, since
/// the limit may have been lifted by then.
const LIMIT_RETRY_AFTER_MAX: Duration = Duration::from_secs(4);

/// The time after which a caller should retry when all upstreams that are left are evacuated or
/// outside the allowed regions. Operators change that, which takes seconds at least.
const OPERATOR_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The upstreams of one send, with the memory reservations to make before it, the loads to count
/// for it, its forecast, and the records of what upstreams had stated about themselves.
pub(crate) struct SendPlan {
    /// The upstream that responds. For a prompt on several engines this is the leader.
    pub(crate) upstream: ListedUpstream,
    /// Engines that prefill a part of the prompt and hold nothing of it.
    pub(crate) helpers: Vec<HelperAddr>,
    /// Memory to reserve on engines before the send. The leader's own reservation is first.
    pub(crate) reservations: Vec<EngineReservation>,
    /// The load that the send adds to each upstream, the leader first.
    pub(crate) loads: Vec<(UpstreamId, RequestLoad)>,
    /// The forecast time from the send until the first event; zero for plain services.
    pub(crate) forecast: Duration,
    /// The limit that the upstream advertises, if any.
    pub(crate) limit: Option<RateLimitRecord>,
    /// The upstreams that accepted no requests when this one was chosen, if any.
    pub(crate) excluded: Option<ExcludedRecord>,
}

impl SendPlan {
    /// All upstreams of the send, the one that responds first.
    pub(crate) fn upstream_ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.loads.iter().map(|(id, _)| id)
    }

    /// The engines that prefill parts of the prompt beside the leader, which generates the
    /// response.
    pub(crate) fn helper_ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.loads.iter().skip(1).map(|(id, _)| id)
    }
}

/// What to do with a call now.
pub(crate) enum PlacementDecision {
    /// Send the call to the upstreams of this plan.
    Send(Box<SendPlan>),
    /// Decide again after this time.
    Wait(Duration),
    /// Wait this long, until the limit of an upstream allows one more request.
    WaitForLimit(Duration),
    /// Refuse the call.
    Refuse(CallRefusal),
}

/// The previous sends and choices of a call.
pub(crate) struct SendHistory<'a> {
    /// The upstreams that the call was sent to.
    pub(crate) tried: &'a [UpstreamId],
    /// Whether one of these upstreams may have run the call.
    pub(crate) may_have_run: bool,
    /// Whether the call is already waiting for the limit of an upstream.
    pub(crate) waits_for_limit: bool,
    /// Whether the call was let in by an earlier choice.
    pub(crate) is_admitted: bool,
    /// Whether the call has waited for a free slot since its last send.
    pub(crate) has_waited_for_slot: bool,
    /// What the customer of the call wants compared with its share.
    pub(crate) standing: ShareStanding,
    /// Whether the call may be sent only to upstreams that can take over, as far as is known.
    pub(crate) is_only_for_able: bool,
}

impl SendHistory<'_> {
    /// The upstreams among the listed ones that the call is not sent to.
    fn avoided(
        &self,
        gateway: &Gateway,
        call: &Call,
        listed: &[ListedUpstream],
        now: Instant,
    ) -> IndexSet<UpstreamId> {
        let mut avoided: IndexSet<UpstreamId> = self.tried.iter().cloned().collect();
        if self.is_only_for_able {
            let silences = gateway.silences();
            let cannot = |upstream: &&ListedUpstream| {
                !silences.can_take_over(&call.service, &upstream.id, now)
            };
            avoided.extend(listed.iter().filter(cannot).map(|u| u.id.clone()));
        }
        avoided
    }
}

/// Decides whether a call is sent now, and to which upstreams of its service, or waits, or is
/// refused.
pub(crate) fn decide_placement(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> PlacementDecision {
    let (Some(routes), Some(by_service)) = (
        gateway.platform_view.routes(),
        gateway.platform_view.upstreams(),
    ) else {
        return PlacementDecision::Refuse(CallRefusal::NoManifest);
    };
    if !gateway.knows_evacuations() {
        return PlacementDecision::Refuse(CallRefusal::NoManifest);
    }
    let listed = by_service.get(&call.service);
    let listed = listed.map_or(&[][..], Vec::as_slice);
    let avoided = sends.avoided(gateway, call, listed, now);
    let Candidates {
        usable,
        excluded,
        backoff,
        is_outside_regions,
    } = Candidates::select(gateway, call, listed, &avoided, now);
    if is_outside_regions {
        return refuse(RefuseReason::OutsideRegions, OPERATOR_RETRY_AFTER);
    }
    if let Some(backoff) = backoff {
        return wait_for_backoff(call, sends, &backoff, now);
    }
    if usable.is_empty() && excluded.is_some_and(|excluded| excluded.evacuated > 0) {
        return refuse(RefuseReason::Evacuated, OPERATOR_RETRY_AFTER);
    }
    let model = engine_model(&routes, call);
    let mut limits = LimitStates::of(gateway, &usable, now);
    loop {
        if let Some(opens_in) = limits.exhausted_for(&usable) {
            return wait_for_limit(gateway, call, sends, opens_in, &limits, now);
        }
        let chosen = match model {
            Some(model) => {
                let request = engine_request(gateway, &routes, call, sends, now);
                let views = engine_views(gateway, &usable, &limits, now);
                if let Some(refusal) =
                    check_engine_room(gateway, &routes, call, sends, &views, &request)
                {
                    return refusal;
                }
                decide_among_engines(call, model, &usable, &views, &request, now)
            }
            None => decide_among_instances(gateway, call, sends, &usable, &limits, now),
        };
        let PlacementDecision::Send(mut plan) = chosen else {
            return chosen;
        };
        if limits.admits(&plan.upstream.id) {
            plan.limit = limits.record(&plan.upstream.id);
            plan.excluded = excluded;
            return PlacementDecision::Send(plan);
        }
    }
}

/// The lane in which a call waits.
pub(crate) fn call_lane(gateway: &Gateway, call: &Call) -> CallLane {
    let routes = gateway.platform_view.routes();
    let class = routes
        .as_ref()
        .and_then(|routes| prompt_class(routes, call));
    class.map_or(CallLane::Plain, CallLane::from)
}

/// The class of a prompt; none if the call is no stream or the service has no engines.
fn prompt_class(routes: &RouteTable, call: &Call) -> Option<PromptClass> {
    let model = engine_model(routes, call)?;
    let pause = routes.strictest_pause(&call.service);
    Some(PromptClass::of(model, call.head.prompt, pause))
}

/// Handles a call while the limits of all upstreams are used up. The call waits if it can still be
/// on time after the calls that are waiting already.
fn wait_for_limit(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    opens_in: Duration,
    limits: &LimitStates,
    now: Instant,
) -> PlacementDecision {
    let patience = patience(call, sends, now);
    let wait = if sends.waits_for_limit {
        opens_in
    } else {
        let waiting = gateway.rate_limits.waiting(&call.service);
        opens_in.max(limits.time_to_admit(waiting))
    };
    if wait <= patience {
        return PlacementDecision::WaitForLimit(opens_in);
    }
    refuse(RefuseReason::RateLimited, wait.min(LIMIT_RETRY_AFTER_MAX))
}

/// Handles a call while all upstreams that it could be sent to want no requests. The call waits if
/// one of them accepts requests again while the call can still be on time.
fn wait_for_backoff(
    call: &Call,
    sends: &SendHistory<'_>,
    backoff: &ServiceBackoff,
    now: Instant,
) -> PlacementDecision {
    let patience = patience(call, sends, now);
    if let Some(wait) = backoff.untried_ends_in.filter(|wait| *wait <= patience) {
        return PlacementDecision::Wait(wait);
    }
    PlacementDecision::Refuse(CallRefusal::Overload {
        reason: RefuseReason::UpstreamBackoff,
        retry_after: if backoff.has_tried_available {
            backoff.ends_in.min(NO_UPSTREAM_RETRY_AFTER)
        } else {
            backoff.ends_in
        },
    })
}

/// How long a call may wait for upstreams: while it can still be on time, or if an upstream may
/// have run it, until its deadline.
pub(super) fn patience(call: &Call, sends: &SendHistory<'_>, now: Instant) -> Duration {
    if sends.may_have_run {
        call.time_left(now)
    } else {
        call.objective_left(now).min(call.time_left(now))
    }
}

/// The upstreams of the call's service that accept no requests; none if all do.
pub(crate) fn excluded_upstreams(
    gateway: &Gateway,
    call: &Call,
    now: Instant,
) -> Option<ExcludedRecord> {
    let by_service = gateway.platform_view.upstreams()?;
    let listed = by_service.get(&call.service)?;
    Candidates::select(gateway, call, listed, &IndexSet::new(), now).excluded
}

/// The candidates of [`decide_placement`] for a prompt that several engines can share: the engines
/// in the failure domain of this host, and all engines. None for other calls.
pub(crate) fn survey_candidates(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> Option<(EngineCountsRecord, EngineCountsRecord)> {
    let routes = gateway.platform_view.routes()?;
    if prompt_class(&routes, call)? == PromptClass::Short {
        return None;
    }
    let model = engine_model(&routes, call)?;
    let views = usable_engine_views(gateway, call, sends, now)?;
    let request = engine_request(gateway, &routes, call, sends, now);
    let (near, all) = count_engines(model, &views, &request);
    Some((near.into(), all.into()))
}

/// The current state of the engines that a call could be sent to; none if no engine is listed.
pub(super) fn usable_engine_views(
    gateway: &Gateway,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> Option<Vec<EngineView>> {
    let by_service = gateway.platform_view.upstreams()?;
    let listed = by_service.get(&call.service)?;
    let avoided = sends.avoided(gateway, call, listed, now);
    let usable = Candidates::select(gateway, call, listed, &avoided, now).usable;
    let limits = LimitStates::of(gateway, &usable, now);
    Some(engine_views(gateway, &usable, &limits, now))
}

/// The engine model of the service; none if the call is no stream or the service has no engines.
pub(super) fn engine_model<'a>(routes: &'a RouteTable, call: &Call) -> Option<&'a EngineModel> {
    let service = routes.services.get(&call.service)?;
    let model = service.engine.as_ref()?;
    call.route.kind.is_stream().then_some(model)
}

/// The request that the choice of engines is made for.
pub(super) fn engine_request(
    gateway: &Gateway,
    routes: &RouteTable,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> EngineRequest {
    let route = gateway.update_route();
    // The caller of an interrupted stream waits for the next event, however late.
    let patience_min = if sends.may_have_run {
        call.patience()
    } else {
        Duration::ZERO
    };
    EngineRequest {
        prompt: call.head.prompt,
        output: call.head.output,
        objective_left: call.objective_left(now).max(patience_min),
        patience_left: call.patience_left(now).max(patience_min),
        time_left: call.time_left(now),
        slot_wait_left: slot_wait_left(routes, call, sends, now),
        strictest_pause: routes.strictest_pause(&call.service),
        local_load_age_max: route.local_age_max,
        remote_load_age_max: route.remote_age_max,
        spans_domains: false,
        shuffle_seed: rand::random(),
    }
}

/// How long a call may still wait for a slot. Without customers in the manifest nobody's share has
/// to be kept free, and calls wait while they can be on time.
fn slot_wait_left(
    routes: &RouteTable,
    call: &Call,
    sends: &SendHistory<'_>,
    now: Instant,
) -> Duration {
    if sends.may_have_run {
        call.time_left(now)
    } else if routes.keys.is_required() {
        call.slot_wait_left(now)
    } else {
        call.objective_left(now)
    }
}

/// Chooses the engines of a prompt.
fn decide_among_engines(
    call: &Call,
    model: &EngineModel,
    usable: &[&ListedUpstream],
    views: &[EngineView],
    request: &EngineRequest,
    now: Instant,
) -> PlacementDecision {
    match choose_engines(model, views, request) {
        EngineChoice::Send(plan) => engine_send_plan(call, model, request, &plan, usable, now),
        EngineChoice::Wait(wait) => PlacementDecision::Wait(wait),
        EngineChoice::Refuse {
            reason,
            retry_after,
        } => refuse(reason, retry_after),
    }
}

/// The current state of the engines as this host knows it.
fn engine_views(
    gateway: &Gateway,
    usable: &[&ListedUpstream],
    limits: &LimitStates,
    now: Instant,
) -> Vec<EngineView> {
    let slowdowns = gateway.slowdowns.current(now);
    let mut ledger = gateway.ledger();
    ledger.expire_peers(now);
    let views = usable.iter().map(|upstream| EngineView {
        id: upstream.id.clone(),
        load: ledger.load(&upstream.id, now),
        is_near: upstream.domain == gateway.conf.domain,
        slowdown: slowdowns.get(&upstream.id).copied().unwrap_or_default(),
        limit: limits.state(&upstream.id),
    });
    views.collect()
}

/// Adds addresses and loads to a plan that names engines by id.
fn engine_send_plan(
    call: &Call,
    model: &EngineModel,
    request: &EngineRequest,
    plan: &EnginePlan,
    usable: &[&ListedUpstream],
    now: Instant,
) -> PlacementDecision {
    let Some(upstream) = find_upstream(usable, &plan.leader) else {
        return no_upstream();
    };
    let mut helpers = Vec::new();
    let mut reservations = Vec::new();
    if let Some(reservation) = plan.reservation(&plan.leader) {
        reservations.push(EngineReservation::new(upstream, reservation.tokens));
    }
    for id in &plan.helpers {
        let Some(helper) = find_upstream(usable, id) else {
            continue;
        };
        match plan.reservation(id) {
            Some(reservation) => {
                reservations.push(EngineReservation::new(helper, reservation.tokens));
            }
            None => helpers.push(HelperAddr {
                addr: helper.addr,
                reservation: None,
            }),
        }
    }
    PlacementDecision::Send(Box::new(SendPlan {
        upstream: upstream.clone(),
        helpers,
        reservations,
        loads: plan.request_loads(model, request, call.route.pause_objective, now),
        forecast: plan.forecast,
        limit: None,
        excluded: None,
    }))
}

pub(super) fn find_upstream<'a>(
    usable: &[&'a ListedUpstream],
    id: &UpstreamId,
) -> Option<&'a ListedUpstream> {
    usable.iter().find(|upstream| upstream.id == *id).copied()
}

/// The refusal of a call that no upstream is left for.
pub(super) fn no_upstream() -> PlacementDecision {
    refuse(RefuseReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER)
}

/// The refusal of a call for this reason.
pub(super) fn refuse(reason: RefuseReason, retry_after: Duration) -> PlacementDecision {
    PlacementDecision::Refuse(CallRefusal::Overload {
        reason,
        retry_after,
    })
}
