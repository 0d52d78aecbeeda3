//! The loaded state of an engine, and the orders that change it.

use std::time::Duration;
use std::time::Instant;

use banyanarch::units::FencingNumber;
use banyanarch::upstream::EngineState;
use banyanarch::upstream::Order;

/// The loaded state of an engine, with a load in progress.
#[derive(Debug)]
pub(crate) struct LoadedState {
    state: EngineState,
    loading_until: Option<Instant>,
    fencing_max: FencingNumber,
    checks_fencing: bool,
    load_duration: Duration,
    /// Orders that were applied, in order, for checkers.
    pub(crate) applied_orders: Vec<Order>,
}

impl LoadedState {
    pub(crate) fn new(state: EngineState, checks_fencing: bool, load_duration: Duration) -> Self {
        Self {
            state,
            loading_until: None,
            fencing_max: FencingNumber::default(),
            checks_fencing,
            load_duration,
            applied_orders: Vec::new(),
        }
    }

    /// Applies an order; returns false when its fencing number is outdated and the engine checks
    /// fencing numbers.
    pub(crate) fn apply(&mut self, order: Order, now: Instant) -> bool {
        if self.checks_fencing && order.fencing < self.fencing_max {
            return false;
        }
        self.fencing_max = self.fencing_max.max(order.fencing);
        self.applied_orders.push(order.clone());
        let new_state = EngineState {
            loading: false,
            ..order.state
        };
        let same_weights = new_state.model == self.state.model
            && new_state.version == self.state.version
            && new_state.adapters == self.state.adapters;
        if !same_weights {
            self.loading_until = Some(now + self.load_duration);
        }
        self.state = new_state;
        true
    }

    /// Returns the state; `loading` is set while a load is in progress.
    pub(crate) fn state(&self, now: Instant) -> EngineState {
        EngineState {
            loading: self.loading_until.is_some_and(|until| now < until),
            ..self.state.clone()
        }
    }
}
