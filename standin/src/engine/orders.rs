//! The loaded state of an engine, and the orders that change it.

use std::time::Duration;
use std::time::Instant;

use banyanarch::units::FencingNumber;
use banyanarch::upstream::EngineState;
use banyanarch::upstream::Order;

/// The loaded state of an engine, with a load in progress.
#[derive(Debug)]
pub(crate) struct Loaded {
    state: EngineState,
    loading_until: Option<Instant>,
    fencing_max: FencingNumber,
    checks_fencing: bool,
    load_takes: Duration,
    /// Orders that were applied, in order, for checkers.
    pub(crate) obeyed: Vec<Order>,
}

impl Loaded {
    pub(crate) fn new(state: EngineState, checks_fencing: bool, load_takes: Duration) -> Self {
        Self {
            state,
            loading_until: None,
            fencing_max: FencingNumber::default(),
            checks_fencing,
            load_takes,
            obeyed: Vec::new(),
        }
    }

    /// Applies an order; returns false when its fencing number is outdated and the engine checks
    /// fencing numbers.
    pub(crate) fn order(&mut self, order: Order, now: Instant) -> bool {
        if self.checks_fencing && order.fencing < self.fencing_max {
            return false;
        }
        self.fencing_max = self.fencing_max.max(order.fencing);
        self.obeyed.push(order.clone());
        let wanted = EngineState {
            loading: false,
            ..order.state
        };
        let same_weights = wanted.model == self.state.model
            && wanted.version == self.state.version
            && wanted.adapters == self.state.adapters;
        if !same_weights {
            self.loading_until = Some(now + self.load_takes);
        }
        self.state = wanted;
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
