//! Choice between the engines of the host's own failure domain (near engines) and all engines.
//!
//! Load reports from other domains are about 40 ms old. With 195 hosts that all chose among the
//! same 195 engines, they filled the same ones, and half of the short answers were late. Reports
//! from the own domain are a few ms old, so hosts prefer near engines and take a far one only where
//! it is clearly better.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EngineCounts;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::choose_from;
use crate::decide::engines::parts::needs_idle_engines;

/// The fewest near engines to choose among. A long prompt is read by up to sixteen engines.
const NEAR_ENGINES_MIN: usize = 12;
/// How much sooner the first event must be on a far engine for the host to choose it. The value is
/// the time to read three short prompts, which hosts of other domains may have sent there in the
/// meantime.
const FAR_ADVANTAGE_MIN: Duration = Duration::from_millis(60);

/// A prompt that waits for near engines considers all engines in one of this many choices, which
/// hosts repeat while the prompt waits.
///
/// If every waiting prompt goes to the same far engines at once, one in three is late under a load
/// that alternates between long and short prompts. If none does, a quarter of the callers are late
/// in a domain that half of all callers use.
const FAR_CHOICE_INTERVAL: u32 = 12;

/// Chooses among the near engines and, where useful, among all engines, and returns the better
/// choice.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> EngineChoice {
    let far_request = request_across_domains(request);
    if !far_request.spans_domains {
        return choose_from(model, engines, &far_request);
    }
    let near = near_engines(engines);
    if near.len() < NEAR_ENGINES_MIN || near.len() == engines.len() {
        return choose_from(model, engines, &far_request);
    }
    let near = choose_from(model, &near, request);
    // A domain seldom has as many idle engines as one of the longest prompts needs. When late
    // prompts of that length waited for near engines, two thirds of the longest tenth were refused
    // at their deadline. Prompts that can still be on time do wait: sent to any domain at once,
    // they would take the engines of other long prompts.
    let may_use_all_engines = needs_idle_engines(model, request)
        || request.shuffle_seed.is_multiple_of(FAR_CHOICE_INTERVAL);
    if matches!(near, EngineChoice::Wait(_)) && !may_use_all_engines {
        return near;
    }
    match (near, choose_from(model, engines, &far_request)) {
        (EngineChoice::Send(near), EngineChoice::Send(any)) => {
            EngineChoice::Send(better_plan(model, engines, near, any))
        }
        (EngineChoice::Send(plan), _) | (_, EngineChoice::Send(plan)) => EngineChoice::Send(plan),
        (EngineChoice::Wait(one), EngineChoice::Wait(other)) => EngineChoice::Wait(one.min(other)),
        (EngineChoice::Wait(wait), _) | (_, EngineChoice::Wait(wait)) => EngineChoice::Wait(wait),
        (_, any) => any,
    }
}

/// Counts the near engines and then all engines by what they could do for the request.
pub(super) fn count_engines(
    model: &EngineModel,
    engines: &[EngineView],
    request: &EngineRequest,
) -> (EngineCounts, EngineCounts) {
    let near = EngineCounts::of(model, &near_engines(engines), request);
    (
        near,
        EngineCounts::of(model, engines, &request_across_domains(request)),
    )
}

/// Copies of the engines in the host's own failure domain.
fn near_engines(engines: &[EngineView]) -> Vec<EngineView> {
    engines.iter().filter(|e| e.is_near).cloned().collect()
}

/// The same request, for a choice among the engines of all domains. The choice spans domains only
/// if reports from other domains are older than those from the own domain.
fn request_across_domains(request: &EngineRequest) -> EngineRequest {
    EngineRequest {
        local_load_age_max: request.remote_load_age_max,
        spans_domains: request.local_load_age_max < request.remote_load_age_max,
        ..request.clone()
    }
}

/// The plan for near engines, unless the plan for any engines is clearly sooner or is the only one
/// that makes no pauses too long.
fn better_plan(
    model: &EngineModel,
    engines: &[EngineView],
    near: EnginePlan,
    any: EnginePlan,
) -> EnginePlan {
    let lengthens_pauses = |plan: &EnginePlan| {
        let leader = engines.iter().find(|engine| engine.id == plan.leader);
        leader.is_some_and(|leader| !leader.fits_part(model, plan.part_time))
    };
    let is_sooner = any.forecast + FAR_ADVANTAGE_MIN < near.forecast;
    if is_sooner || (lengthens_pauses(&near) && !lengthens_pauses(&any)) {
        any
    } else {
        near
    }
}
