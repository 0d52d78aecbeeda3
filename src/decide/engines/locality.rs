//! Whether a request goes to engines of its host's own failure domain or to any.
//!
//! Load it answers: 195 hosts that choose among the same 195 engines by news from other domains that
//! are 40 ms old all fill the same ones, and half of the short answers come late. News of neighbours
//! are a few ms old, so hosts choose among the engines of their own domain, and take another one where
//! that is clearly better.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::engines::EngineChoice;
use crate::decide::engines::EngineCounts;
use crate::decide::engines::EnginePlan;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::EngineView;
use crate::decide::engines::choose_among;
use crate::decide::engines::parts::needs_idle_engines;

/// Engines of a domain that are enough to choose among: a long prompt is read by up to sixteen.
const NEAR_MIN: usize = 12;
/// A far engine is taken if the first event comes sooner there by more than this: as long as reading
/// three short prompts takes, which hosts of other domains may have sent there unseen.
const FAR_GAIN: Duration = Duration::from_millis(60);

/// A prompt that waits for near engines goes to others at one choice in so many. Where all that wait go
/// to the same far engines at once, one in three came late of a load that turns between long and short
/// prompts; where none does, a domain with half of all callers leaves a quarter of them late.
const FAR_TRIES: u32 = 12;

/// Chooses among near engines and among all of them, and takes the better one.
pub(super) fn choose(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> EngineChoice {
    let far_ask = far(ask);
    if !far_ask.spans_domains {
        return choose_among(model, engines, &far_ask);
    }
    let near = near_engines(engines);
    if near.len() < NEAR_MIN || near.len() == engines.len() {
        return choose_among(model, engines, &far_ask);
    }
    let near = choose_among(model, &near, ask);
    // The longest prompts are few, and a domain seldom has as many idle engines as one needs: waiting
    // for these, two thirds of the longest tenth were turned away at their deadline. While they can
    // still be on time they wait: sent anywhere at once, they take the engines of other long prompts.
    let looks_far = needs_idle_engines(model, ask) || ask.shuffle_seed.is_multiple_of(FAR_TRIES);
    if matches!(near, EngineChoice::Wait(_)) && !looks_far {
        return near;
    }
    match (near, choose_among(model, engines, &far_ask)) {
        (EngineChoice::Send(near), EngineChoice::Send(any)) => {
            EngineChoice::Send(better(model, engines, near, any))
        }
        (EngineChoice::Send(plan), _) | (_, EngineChoice::Send(plan)) => EngineChoice::Send(plan),
        (EngineChoice::Wait(one), EngineChoice::Wait(other)) => EngineChoice::Wait(one.min(other)),
        (EngineChoice::Wait(wait), _) | (_, EngineChoice::Wait(wait)) => EngineChoice::Wait(wait),
        (_, any) => any,
    }
}

/// Counts the engines of the host's own failure domain, and all of them.
pub(super) fn survey(
    model: &EngineModel,
    engines: &[EngineView],
    ask: &EngineRequest,
) -> (EngineCounts, EngineCounts) {
    let near = EngineCounts::of(model, &near_engines(engines), ask);
    (near, EngineCounts::of(model, engines, &far(ask)))
}

fn near_engines(engines: &[EngineView]) -> Vec<EngineView> {
    engines.iter().filter(|e| e.is_near).cloned().collect()
}

/// The same request to engines of any domain.
fn far(ask: &EngineRequest) -> EngineRequest {
    EngineRequest {
        near_load_age: ask.far_load_age,
        spans_domains: ask.near_load_age < ask.far_load_age,
        ..ask.clone()
    }
}

fn better(
    model: &EngineModel,
    engines: &[EngineView],
    near: EnginePlan,
    any: EnginePlan,
) -> EnginePlan {
    let stretches = |plan: &EnginePlan| {
        let leader = engines.iter().find(|engine| engine.id == plan.leader);
        leader.is_some_and(|leader| !leader.has_room(model, plan.part_time))
    };
    let is_sooner = any.forecast + FAR_GAIN < near.forecast;
    if is_sooner || (stretches(&near) && !stretches(&any)) {
        any
    } else {
        near
    }
}
