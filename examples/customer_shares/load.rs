//! The calls of customers of different sizes, before and after a change of their load.

use std::time::Duration;

use banyanarch::units::BoundedTime;
use banyanarch::units::CustomerId;
use banyanarch::units::seconds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The calls per second of all customers together at the usual load.
const CALLS_PER_S: f64 = 110.0;
/// The mean engine time of a call, in ms.
const COST_MEAN_MS: f64 = 100.0;
/// The engine time that the service provides, as a multiple of the usual load.
const CAPACITY: f64 = 1.3;

/// The load of all customers of a service.
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) customers: usize,
    /// The customer whose load changes alone.
    pub(crate) changed: Option<usize>,
    /// The factor on the load of that customer, or of all, after the change.
    factor: f64,
    /// The fraction of the capacity that is left after the change.
    capacity_left: f64,
}

/// A call of a customer.
pub(crate) struct Call {
    pub(crate) at: Duration,
    pub(crate) customer: usize,
    /// The engine time.
    pub(crate) cost: Duration,
    /// Whether there was room for it.
    pub(crate) is_sent: bool,
}

/// All loads for a number of customers, which are sorted by size, the largest first.
pub(crate) fn all(customers: usize) -> Vec<Load> {
    let load = |name, changed, factor, capacity_left| Load {
        name,
        customers,
        changed,
        factor,
        capacity_left,
    };
    let (large, middle, small) = (Some(0), Some(customers / 2), Some(customers - 1));
    vec![
        load("usual", None, 1.0, 1.0),
        load("usual, 0.6 of engines", None, 1.0, 0.6),
        load("all x2", None, 2.0, 1.0),
        load("largest x1, 0.6 of engines", large, 1.0, 0.6),
        load("largest x2", large, 2.0, 1.0),
        load("middle x3, 0.6 of engines", middle, 3.0, 0.6),
        load("middle x60, 0.6 of engines", middle, 60.0, 0.6),
        load("largest x60, 0.6 of engines", large, 60.0, 0.6),
        load("smallest x60, 0.6 of engines", small, 60.0, 0.6),
    ]
}

/// The name of the customer `index`.
pub(crate) fn customer_id(index: usize) -> CustomerId {
    format!("customer-{index}")
        .parse()
        .unwrap_or_else(|_| CustomerId::fallback())
}

impl Load {
    /// Draws the calls until `ends_at`, in order of time. The load changes at `changes_at`.
    pub(crate) fn draw(&self, changes_at: Duration, ends_at: Duration, seed: u64) -> Vec<Call> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        for customer in 0..self.customers {
            let rate = self.usual_rate(customer);
            draw_calls(
                &mut rng,
                &mut calls,
                customer,
                rate,
                Duration::ZERO..changes_at,
            );
            let is_changed = self.changed.is_none_or(|changed| changed == customer);
            let rate = if is_changed { rate * self.factor } else { rate };
            draw_calls(&mut rng, &mut calls, customer, rate, changes_at..ends_at);
        }
        calls.sort_by_key(|call| (call.at, call.customer));
        self.send(&mut calls, changes_at);
        calls
    }

    /// The calls per second of a customer at the usual load. The size falls with the rank.
    fn usual_rate(&self, customer: usize) -> f64 {
        let weight = |rank: usize| 1.0 / (rank as f64 + 1.0).sqrt();
        let sum: f64 = (0..self.customers).map(weight).sum();
        CALLS_PER_S * weight(customer) / sum
    }

    /// Marks the calls as sent for which there is room, in order of arrival.
    fn send(&self, calls: &mut [Call], changes_at: Duration) {
        let usual = CALLS_PER_S * COST_MEAN_MS / 1e3;
        let mut room = Duration::ZERO;
        let mut before = Duration::ZERO;
        for call in calls {
            let is_changed = call.at >= changes_at;
            let left = if is_changed { self.capacity_left } else { 1.0 };
            let capacity = usual * CAPACITY * left;
            room += (call.at - before).scaled(capacity);
            room = room.min(seconds(capacity));
            before = call.at;
            call.is_sent = room >= call.cost;
            room = room.saturating_sub(if call.is_sent {
                call.cost
            } else {
                Duration::ZERO
            });
        }
    }
}

/// Draws the calls of one customer, which arrive independently of each other. Three in ten of them
/// take eleven times as long as the others.
fn draw_calls(
    rng: &mut StdRng,
    calls: &mut Vec<Call>,
    customer: usize,
    rate: f64,
    time: std::ops::Range<Duration>,
) {
    let mut at = time.start;
    loop {
        at += seconds(exponential(rng) / rate);
        if at >= time.end {
            return;
        }
        let is_short = rng.random_range(0.0..1.0) < 0.7;
        let mean_ms = COST_MEAN_MS * if is_short { 0.25 } else { 2.75 };
        calls.push(Call {
            at,
            customer,
            cost: seconds(exponential(rng) * mean_ms / 1e3),
            is_sent: false,
        });
    }
}

fn exponential(rng: &mut StdRng) -> f64 {
    -f64::ln(1.0 - rng.random_range(0.0..1.0))
}
