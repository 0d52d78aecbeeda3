//! Where a call goes next, by what this host believes now.

use std::time::Duration;
use std::time::Instant;

use crate::decide::EngineModel;
use crate::decide::InstanceView;
use crate::decide::LoadShare;
use crate::decide::RefuseReason;
use crate::decide::choose_instance;
use crate::decide::engines::EngineAsk;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineView;
use crate::decide::engines::PromptClass;
use crate::decide::engines::choose_engines;
use crate::decide::engines::survey_engines;
use crate::gateway::Call;
use crate::gateway::EnginesSeen;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::LimitSeen;
use crate::gateway::Listed;
use crate::gateway::Refusal;
use crate::gateway::limit_states::LimitStates;
use crate::gateway::reservation::Part;
use crate::routing::RouteTable;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// When to come back where no upstream is left to send to; lists are read more often than this.
pub(crate) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a caller is asked to come back to upstreams that have named a limit: it may have
/// ended by then.
const LIMIT_RETRY_AFTER_MAX: Duration = Duration::from_secs(4);

/// Where a send goes.
pub(crate) struct Placement {
    pub(crate) upstream: Listed,
    /// Engines that read a part and keep nothing.
    pub(crate) helpers: Vec<HelperAddr>,
    /// Memory that engines set aside before the send, the first engine's own first.
    pub(crate) reserves: Vec<Part>,
    /// What the send adds to whose load.
    pub(crate) shares: Vec<(UpstreamId, LoadShare)>,
    pub(crate) forecast: Duration,
    /// The limit that the upstream has named; none if it has named none.
    pub(crate) limit: Option<LimitSeen>,
}

impl Placement {
    /// The engines that read parts beside the one that writes the answer.
    pub(crate) fn helper_ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.shares.iter().skip(1).map(|(id, _)| id)
    }
}

/// What to do with a call now.
pub(crate) enum Choice {
    Send(Box<Placement>),
    Wait(Duration),
    /// Wait for an upstream's limit to allow one more request.
    WaitForLimit(Duration),
    Refuse(Refusal),
}

/// What has become of a call so far.
pub(crate) struct Sends<'a> {
    /// The upstreams that it was sent to.
    pub(crate) tried: &'a [UpstreamId],
    /// Whether one of them may have run it.
    pub(crate) has_run: bool,
    /// Whether it waits for an upstream's limit already.
    pub(crate) waits_for_limit: bool,
}

/// Chooses among the upstreams of a call's service.
pub(crate) fn choose(gateway: &Gateway, call: &Call, sends: &Sends<'_>, now: Instant) -> Choice {
    let (Some(routes), Some(by_service)) = (gateway.beliefs.routes(), gateway.beliefs.upstreams())
    else {
        return Choice::Refuse(Refusal::NoManifest);
    };
    let listed = by_service.get(&call.service);
    let usable = usable(gateway, listed.map_or(&[], Vec::as_slice), sends.tried, now);
    let model = engine_model(&routes, call);
    let mut limits = LimitStates::of(gateway, &usable, now);
    loop {
        if let Some(opens_in) = limits.exhausted_for(&usable) {
            return wait_for_limit(gateway, call, sends, opens_in, &limits, now);
        }
        let chosen = match model {
            Some(model) => {
                let ask = engine_ask(gateway, &routes, call, sends, now);
                let views = views(gateway, &usable, &limits, now);
                among_engines(call, model, &usable, &views, &ask, now)
            }
            None => among_instances(gateway, &usable, &limits, now),
        };
        let Choice::Send(mut placement) = chosen else {
            return chosen;
        };
        if limits.admits(&placement.upstream.id) {
            placement.limit = limits.seen(&placement.upstream.id);
            return Choice::Send(placement);
        }
    }
}

/// All upstreams have got what they take: a call that can still be on time waits, if those that wait before it
/// leave it the time.
fn wait_for_limit(
    gateway: &Gateway,
    call: &Call,
    sends: &Sends<'_>,
    opens_in: Duration,
    limits: &LimitStates,
    now: Instant,
) -> Choice {
    let patience = if sends.has_run {
        call.time_left(now)
    } else {
        call.objective_left(now).min(call.time_left(now))
    };
    let turn_in = if sends.waits_for_limit {
        opens_in
    } else {
        let before = gateway.rate_limits.waiting(&call.service);
        opens_in.max(limits.time_for(before))
    };
    if turn_in <= patience {
        return Choice::WaitForLimit(opens_in);
    }
    Choice::Refuse(Refusal::Overload {
        reason: RefuseReason::RateLimited,
        retry_after: turn_in.min(LIMIT_RETRY_AFTER_MAX),
    })
}

/// The engines that [`choose`] has for a prompt of several: those of this host's failure domain, and all.
/// None for other calls.
pub(crate) fn survey(
    gateway: &Gateway,
    call: &Call,
    sends: &Sends<'_>,
    now: Instant,
) -> Option<(EnginesSeen, EnginesSeen)> {
    let routes = gateway.beliefs.routes()?;
    let model = engine_model(&routes, call)?;
    let by_service = gateway.beliefs.upstreams()?;
    let listed = by_service.get(&call.service)?;
    let ask = engine_ask(gateway, &routes, call, sends, now);
    if ask.class(model) == PromptClass::Short {
        return None;
    }
    let usable = usable(gateway, listed, sends.tried, now);
    let limits = LimitStates::of(gateway, &usable, now);
    let views = views(gateway, &usable, &limits, now);
    let (near, all) = survey_engines(model, &views, &ask);
    Some((near.into(), all.into()))
}

/// The engines of a call's service; none if it is no stream, or its service has none.
fn engine_model<'a>(routes: &'a RouteTable, call: &Call) -> Option<&'a EngineModel> {
    let service = routes.services.get(&call.service)?;
    let model = service.engine.as_ref()?;
    call.route.kind.is_stream().then_some(model)
}

fn engine_ask(
    gateway: &Gateway,
    routes: &RouteTable,
    call: &Call,
    sends: &Sends<'_>,
    now: Instant,
) -> EngineAsk {
    let news = gateway.news_route();
    // The caller of a stream that broke off stays for its next event, however late it is.
    let least = if sends.has_run {
        call.patience()
    } else {
        Duration::ZERO
    };
    EngineAsk {
        prompt: call.head.prompt,
        output: call.head.output,
        objective_left: call.objective_left(now).max(least),
        patience_left: call.patience_left(now).max(least),
        time_left: call.time_left(now),
        strictest_pause: routes.strictest_pause(&call.service),
        news_age: news.near_age,
        far_news_age: news.far_age,
        is_far: false,
        draw: rand::random(),
    }
}

/// The upstreams that may get a call: not those that failed it or that are failing, unless there are
/// no others.
fn usable<'a>(
    gateway: &Gateway,
    listed: &'a [Listed],
    tried: &[UpstreamId],
    now: Instant,
) -> Vec<&'a Listed> {
    let untried: Vec<&Listed> = listed.iter().filter(|u| !tried.contains(&u.id)).collect();
    let health = gateway.health();
    let sound: Vec<&Listed> = untried
        .iter()
        .copied()
        .filter(|upstream| health.is_usable(&upstream.id, &upstream.domain, now))
        .collect();
    if sound.is_empty() { untried } else { sound }
}

fn among_instances(
    gateway: &Gateway,
    usable: &[&Listed],
    limits: &LimitStates,
    now: Instant,
) -> Choice {
    let health = gateway.health();
    let ledger = gateway.ledger();
    let open = usable
        .iter()
        .filter(|upstream| limits.is_open(&upstream.id));
    let views = open.map(|upstream| InstanceView {
        id: upstream.id.clone(),
        in_flight: ledger.load(&upstream.id, now).in_flight,
        is_near: upstream.domain == gateway.conf.domain,
        is_failing: health.is_failing(&upstream.id),
    });
    let views: Vec<InstanceView> = views.collect();
    drop(ledger);
    drop(health);
    let chosen = choose_instance(&views, rand::random());
    let Some(upstream) = chosen.and_then(|id| find(usable, id)) else {
        return no_upstream();
    };
    let share = LoadShare {
        takes_place: true,
        is_short: false,
        pause: None,
        read_time: Duration::ZERO,
        held_tokens: Tokens::ZERO,
        helps: None,
        prefill_due: None,
    };
    Choice::Send(Box::new(Placement {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        reserves: Vec::new(),
        shares: vec![(upstream.id.clone(), share)],
        forecast: Duration::ZERO,
        limit: None,
    }))
}

fn among_engines(
    call: &Call,
    model: &EngineModel,
    usable: &[&Listed],
    views: &[EngineView],
    ask: &EngineAsk,
    now: Instant,
) -> Choice {
    match choose_engines(model, views, ask) {
        EngineChoice::Send(plan) => place(call, model, ask, &plan, usable, now),
        EngineChoice::Wait(wait) => Choice::Wait(wait),
        EngineChoice::Refuse {
            reason,
            retry_after,
        } => Choice::Refuse(Refusal::Overload {
            reason,
            retry_after,
        }),
    }
}

/// The engines as this host sees them now.
fn views(
    gateway: &Gateway,
    usable: &[&Listed],
    limits: &LimitStates,
    now: Instant,
) -> Vec<EngineView> {
    let slowdowns = gateway.slowdowns.known(now);
    let mut ledger = gateway.ledger();
    ledger.forget_silent(now);
    let views = usable.iter().map(|upstream| EngineView {
        id: upstream.id.clone(),
        load: ledger.load(&upstream.id, now),
        is_near: upstream.domain == gateway.conf.domain,
        slowdown: slowdowns.get(&upstream.id).copied().unwrap_or_default(),
        limit: limits.state(&upstream.id),
    });
    views.collect()
}

fn place(
    call: &Call,
    model: &EngineModel,
    ask: &EngineAsk,
    plan: &EnginePlan,
    usable: &[&Listed],
    now: Instant,
) -> Choice {
    let Some(upstream) = find(usable, &plan.leader) else {
        return no_upstream();
    };
    let mut helpers = Vec::new();
    let mut reserves = Vec::new();
    if let Some(reserve) = plan.reserve(&plan.leader) {
        reserves.push(Part::new(upstream, reserve.tokens));
    }
    for id in &plan.helpers {
        let Some(helper) = find(usable, id) else {
            continue;
        };
        match plan.reserve(id) {
            Some(reserve) => reserves.push(Part::new(helper, reserve.tokens)),
            None => helpers.push(HelperAddr {
                addr: helper.addr,
                reservation: None,
            }),
        }
    }
    Choice::Send(Box::new(Placement {
        upstream: upstream.clone(),
        helpers,
        reserves,
        shares: plan.shares(model, ask, call.route.pause_objective, now),
        forecast: plan.forecast,
        limit: None,
    }))
}

fn find<'a>(usable: &[&'a Listed], id: &UpstreamId) -> Option<&'a Listed> {
    usable.iter().find(|upstream| upstream.id == *id).copied()
}

fn no_upstream() -> Choice {
    Choice::Refuse(Refusal::Overload {
        reason: RefuseReason::NoUpstream,
        retry_after: NO_UPSTREAM_RETRY_AFTER,
    })
}
