//! Selection of the engines to change next.

use crate::units::UpstreamId;
use crate::upstream::EngineState;

/// The state that the manifest asks of the engines of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngines {
    /// The desired state of each engine.
    pub state: EngineState,
    /// Share of the engines that must stay loaded during a change, in percent. The number is
    /// rounded down, since a pool of one engine could otherwise never change.
    pub loaded_percent_min: u8,
}

/// The observed state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// The id of the engine.
    pub id: UpstreamId,
    /// The state that the engine reported last; `None` if it never did.
    pub reported: Option<EngineState>,
    /// Whether an order to the engine may still be on its way or in progress.
    pub has_pending_order: bool,
}

impl ObservedEngine {
    /// Whether the engine has loaded the desired model in any version, and no order to it is
    /// pending.
    fn is_loaded(&self, desired: &DesiredEngines) -> bool {
        let reported = self.reported.as_ref();
        !self.has_pending_order
            && reported.is_some_and(|state| !state.loading && state.model == desired.state.model)
    }

    /// Whether an order may be sent to the engine: its last report shows that it is not loading,
    /// and no order is pending. The engine need not be in the desired state.
    fn can_be_ordered(&self) -> bool {
        !self.has_pending_order && self.reported.as_ref().is_some_and(|state| !state.loading)
    }

    /// Whether the engine is in the desired state and no order to it is pending.
    pub fn has_desired_state(&self, desired: &DesiredEngines) -> bool {
        !self.has_pending_order && self.reported.as_ref() == Some(&desired.state)
    }
}

/// Returns the engines to send an order to now, in order of precedence.
///
/// The failure this guards against: a new version is ordered everywhere at once, and no engine
/// serves until it is loaded. Engines that serve nothing useful therefore go first, which takes
/// away no capacity; engines that serve an earlier version follow only as far as enough others stay
/// loaded. An engine that is loading is left alone, even if the desired state has changed
/// meanwhile: the weights are already being transferred, and its next report is compared again. An
/// engine that never reported gets no order.
pub fn engines_to_order(desired: &DesiredEngines, engines: &[ObservedEngine]) -> Vec<UpstreamId> {
    let loaded_min = engines.len() * usize::from(desired.loaded_percent_min) / 100;
    let loaded = engines.iter().filter(|engine| engine.is_loaded(desired));
    let mut spare = loaded.count().saturating_sub(loaded_min);
    let mut to_order = Vec::new();
    let to_change = engines
        .iter()
        .filter(|engine| engine.can_be_ordered() && !engine.has_desired_state(desired));
    let (serving, not_serving): (Vec<&ObservedEngine>, Vec<&ObservedEngine>) =
        to_change.partition(|engine| engine.is_loaded(desired));
    to_order.extend(not_serving.into_iter().map(|engine| engine.id.clone()));
    for engine in serving {
        if spare == 0 {
            break;
        }
        spare -= 1;
        to_order.push(engine.id.clone());
    }
    to_order
}
