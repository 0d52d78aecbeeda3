//! Which engines to change next.

use crate::units::UpstreamId;
use crate::upstream::EngineState;

/// What the manifest wants of the engines of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngines {
    /// The state of each.
    pub state: EngineState,
    /// How many loaded engines a change must leave, in percent, rounded down: a pool of one engine
    /// could otherwise never change.
    pub loaded_percent_min: u8,
}

/// An engine as it is seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// Its name.
    pub id: UpstreamId,
    /// What it reported last; none if it never did.
    pub reported: Option<EngineState>,
    /// Whether an order to it may still be on its way or at work.
    pub has_pending_order: bool,
}

impl ObservedEngine {
    fn is_loaded(&self, desired: &DesiredEngines) -> bool {
        let reported = self.reported.as_ref();
        !self.has_pending_order
            && reported.is_some_and(|state| !state.loading && state.model == desired.state.model)
    }

    fn is_settled(&self) -> bool {
        !self.has_pending_order && self.reported.as_ref().is_some_and(|state| !state.loading)
    }

    /// Whether it has what is wanted.
    pub fn has_desired_state(&self, desired: &DesiredEngines) -> bool {
        !self.has_pending_order && self.reported.as_ref() == Some(&desired.state)
    }
}

/// The engines to order now, in order.
///
/// Failure: a new version is ordered everywhere at once, and until it is loaded no engine serves.
/// So engines that serve nothing of use go first, which takes nothing away; those that serve an
/// earlier version follow only as far as enough others stay loaded. An engine in the middle of a load
/// is left alone, also if what is wanted has changed meanwhile: its load has been paid for, and what
/// it reports then is compared again. An engine that never reported is not touched.
pub fn engines_to_order(desired: &DesiredEngines, engines: &[ObservedEngine]) -> Vec<UpstreamId> {
    let loaded_min = engines.len() * usize::from(desired.loaded_percent_min) / 100;
    let loaded = engines.iter().filter(|engine| engine.is_loaded(desired));
    let mut spare = loaded.count().saturating_sub(loaded_min);
    let mut to_order = Vec::new();
    let to_change = engines
        .iter()
        .filter(|engine| engine.is_settled() && !engine.has_desired_state(desired));
    let (serving, idle): (Vec<&ObservedEngine>, Vec<&ObservedEngine>) =
        to_change.partition(|engine| engine.is_loaded(desired));
    to_order.extend(idle.into_iter().map(|engine| engine.id.clone()));
    for engine in serving {
        if spare == 0 {
            break;
        }
        spare -= 1;
        to_order.push(engine.id.clone());
    }
    to_order
}
