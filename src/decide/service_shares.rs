//! The demand of all customers for one service.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CustomerUse;
use crate::decide::ShareFigures;
use crate::decide::customer_demand::CustomerDemand;
use crate::decide::customer_demand::mean_call_us;
use crate::units::CustomerHash;

/// The interval at which the usual demand of customers is learned.
const LEARN_INTERVAL: Duration = Duration::from_secs(1);
/// The bound on what a customer wants, as a multiple of its usual demand, when the growth of the
/// demand of all customers is derived. One customer then cannot raise the shares of all others.
const GROWTH_FACTOR_MAX: f64 = 3.0;

/// The demand of all customers for one service, and sums over it that are updated every few
/// milliseconds.
#[derive(Debug)]
pub(crate) struct ServiceShares {
    customers: IndexMap<CustomerHash, CustomerDemand>,
    /// The customers that sources report together, without names.
    others: CustomerDemand,
    /// The largest number of customers that one source has reported.
    reported_customers: u32,
    first_seen_at: Instant,
    learned_at: Instant,
    equal_part_us_per_s: f64,
    usual_sum_us_per_s: f64,
    /// The sum of the usual squared engine times of calls.
    squared_sum: f64,
    /// The sum of what customers want, each up to [`GROWTH_FACTOR_MAX`] times its usual demand.
    bounded_sum_us_per_s: f64,
}

impl ServiceShares {
    /// The state of a service that no customer has called.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            customers: IndexMap::new(),
            others: CustomerDemand::new(Duration::ZERO, now),
            reported_customers: 0,
            first_seen_at: now,
            learned_at: now,
            equal_part_us_per_s: 0.0,
            usual_sum_us_per_s: 0.0,
            squared_sum: 0.0,
            bounded_sum_us_per_s: 0.0,
        }
    }

    /// The demand of a customer; that of a new one if it is unknown.
    pub(crate) fn customer_mut(&mut self, id: CustomerHash, now: Instant) -> &mut CustomerDemand {
        let learned = now.saturating_duration_since(self.first_seen_at);
        let new = || CustomerDemand::new(learned, now);
        self.customers.entry(id).or_insert_with(new)
    }

    /// Applies the report of a source, which replaces `before`.
    pub(crate) fn on_report(
        &mut self,
        before: Option<&CustomerUse>,
        report: &CustomerUse,
        now: Instant,
    ) {
        let demand = match report.customer {
            Some(id) => self.customer_mut(id, now),
            None => &mut self.others,
        };
        demand.on_report(before, report);
    }

    /// Subtracts the report of a source.
    pub(crate) fn remove_report(&mut self, report: &CustomerUse) {
        let demand = match report.customer {
            Some(id) => self.customers.get_mut(&id),
            None => Some(&mut self.others),
        };
        if let Some(demand) = demand {
            demand.remove_report(report);
        }
    }

    /// Sets the largest number of customers that one source has reported.
    pub(crate) fn set_reported_customers(&mut self, customers: u32) {
        self.reported_customers = customers;
    }

    /// Updates the sums over all customers, learns their usual demand if that is due, and forgets
    /// customers without demand.
    pub(crate) fn refresh(&mut self, now: Instant) {
        self.customers
            .retain(|_, demand| !demand.is_negligible(now));
        self.update_sums(now);
        let elapsed = now.saturating_duration_since(self.learned_at);
        if elapsed < LEARN_INTERVAL {
            return;
        }
        self.learned_at = now;
        let shares: Vec<f64> = self
            .customers
            .values()
            .map(|demand| self.figures_of(demand, now).share_us_per_s())
            .collect();
        for (demand, share) in self.customers.values_mut().zip(shares) {
            demand.learn(share, elapsed, now);
        }
        self.others.learn(f64::MAX, elapsed, now);
    }

    fn update_sums(&mut self, now: Instant) {
        let mut customers = 0_u32;
        let mut used = 0.0;
        self.usual_sum_us_per_s = 0.0;
        self.squared_sum = 0.0;
        self.bounded_sum_us_per_s = 0.0;
        for demand in self.customers.values().chain([&self.others]) {
            customers += u32::from(demand.wanted_us_per_s(now) > 0.0);
            used += demand.used_us_per_s(now);
            self.usual_sum_us_per_s += demand.usual_us_per_s();
            self.squared_sum += demand.usual_squared();
            self.bounded_sum_us_per_s += bounded_demand(demand, now);
        }
        let customers = customers.max(self.reported_customers).max(1);
        self.equal_part_us_per_s = used / f64::from(customers);
    }

    /// The figures of a customer.
    pub(crate) fn figures(&self, id: CustomerHash, now: Instant) -> ShareFigures {
        let demand = self.customers.get(&id);
        demand.map_or_else(ShareFigures::default, |demand| self.figures_of(demand, now))
    }

    fn figures_of(&self, demand: &CustomerDemand, now: Instant) -> ShareFigures {
        let call_us = if demand.usual_us_per_s() > 0.0 {
            demand.usual_call_us()
        } else {
            mean_call_us(self.squared_sum, self.usual_sum_us_per_s)
        };
        ShareFigures {
            wanted_us_per_s: demand.wanted_us_per_s(now),
            used_us_per_s: demand.used_us_per_s(now),
            usual_us_per_s: demand.usual_us_per_s(),
            usual_call_us: call_us,
            equal_part_us_per_s: self.equal_part_us_per_s,
            growth_of_others: self.growth_beside(demand, now),
            wanted_by_others_us_per_s: self.wanted_beside(demand, now),
        }
    }

    /// What all customers but one want, divided by what they usually want.
    fn growth_beside(&self, demand: &CustomerDemand, now: Instant) -> f64 {
        let usual = self.usual_sum_us_per_s - demand.usual_us_per_s();
        let wanted = self.wanted_beside(demand, now);
        if usual > 0.0 {
            (wanted / usual).clamp(1.0, GROWTH_FACTOR_MAX)
        } else {
            1.0
        }
    }

    /// Whether no customer wants anything or usually does.
    pub(crate) fn is_negligible(&self, now: Instant) -> bool {
        self.customers.is_empty() && self.others.is_negligible(now)
    }

    /// What all customers but one want, each up to [`GROWTH_FACTOR_MAX`] times its usual demand.
    fn wanted_beside(&self, demand: &CustomerDemand, now: Instant) -> f64 {
        (self.bounded_sum_us_per_s - bounded_demand(demand, now)).max(0.0)
    }

    /// What all customers want, each up to [`GROWTH_FACTOR_MAX`] times its usual demand, in engine
    /// time per second.
    pub(crate) fn wanted_us_per_s(&self) -> f64 {
        self.bounded_sum_us_per_s
    }

    /// The demand of each customer.
    pub(crate) fn customers(&self) -> impl Iterator<Item = (CustomerHash, &CustomerDemand)> {
        self.customers.iter().map(|(id, demand)| (*id, demand))
    }

    /// Forgets all customers for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(CustomerHash) -> bool) {
        self.customers.retain(|id, _| is_kept(*id));
    }
}

fn bounded_demand(demand: &CustomerDemand, now: Instant) -> f64 {
    let bound = demand.usual_us_per_s() * GROWTH_FACTOR_MAX;
    demand.wanted_us_per_s(now).min(bound)
}
