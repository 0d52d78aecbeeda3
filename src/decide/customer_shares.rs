//! How much each customer wants of a service compared with its share, over all hosts.
//!
//! One host sees too few calls to tell a customer that wants far more than usual from the others.
//! Each host therefore reports what its customers want, as rates over the last second, so that a
//! lost report is corrected by the next one and the demand at a host that dies is forgotten.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CustomerUse;
use crate::decide::LoadSource;
use crate::decide::ShareFigures;
use crate::decide::ShareStanding;
use crate::decide::customer_demand::CustomerDemand;
use crate::decide::reported_uses::ReportedUses;
use crate::decide::service_shares::ServiceShares;
use crate::units::CustomerHash;
use crate::units::CustomerId;
use crate::units::ServiceHash;
use crate::units::ServiceId;

/// The interval at which expired reports are dropped and sums over all customers are updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The demand of customers for services, on this host and on those that report theirs.
#[derive(Debug, Default)]
pub struct CustomerShares {
    services: IndexMap<ServiceHash, ServiceShares>,
    sources: IndexMap<LoadSource, ReportedUses>,
    refreshed_at: Option<Instant>,
}

impl CustomerShares {
    /// Records a call that has arrived at this host and may be sent. `cost` is its engine time.
    pub fn on_arrival(
        &mut self,
        service: &ServiceId,
        customer: &CustomerId,
        cost: Duration,
        now: Instant,
    ) {
        self.demand_mut(service, customer, now)
            .on_arrival(cost, now);
        self.refresh(now);
    }

    /// Records a call that this host has sent to an upstream. `cost` is its engine time.
    pub fn on_send(
        &mut self,
        service: &ServiceId,
        customer: &CustomerId,
        cost: Duration,
        now: Instant,
    ) {
        self.demand_mut(service, customer, now).on_send(cost, now);
        self.refresh(now);
    }

    /// What the customer wants of the service now compared with its share.
    pub fn standing(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        now: Instant,
    ) -> ShareStanding {
        self.figures(service, customer, now).standing()
    }

    /// The figures from which the standing of a customer is derived.
    pub fn figures(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        now: Instant,
    ) -> ShareFigures {
        let service = self.services.get(&ServiceHash::from(service));
        service.map_or_else(ShareFigures::default, |service| {
            service.figures(customer.into(), now)
        })
    }

    /// What all customers want of a service, in engine time per second; of each, no more than a
    /// multiple of its usual demand counts.
    pub fn wanted_us_per_s(&self, service: &ServiceId) -> f64 {
        let service = self.services.get(&ServiceHash::from(service));
        service.map_or(0.0, ServiceShares::wanted_us_per_s)
    }

    /// What the customers that wanted or used something within the last second wanted and used on
    /// this host, for reports to other hosts.
    pub fn own_use(&mut self, now: Instant) -> Vec<CustomerUse> {
        self.refresh(now);
        let services = self.services.iter();
        let uses = services.flat_map(|(service, shares)| own_uses(*service, shares, now));
        uses.collect()
    }

    /// Records the reports of a source, which replace its earlier ones about the same customers.
    /// Other reports of the source stay in force until they expire, or until it has a new
    /// incarnation.
    pub fn record_use(
        &mut self,
        source: &LoadSource,
        incarnation: u64,
        reports: impl IntoIterator<Item = CustomerUse>,
        now: Instant,
    ) {
        self.remove_earlier_incarnations(source, incarnation);
        let mut reports = reports.into_iter().peekable();
        if reports.peek().is_none() {
            return;
        }
        let new = || ReportedUses::new(incarnation);
        let reported = self.sources.entry(source.clone()).or_insert_with(new);
        for report in reports {
            let before = reported.record(report, now);
            self.services
                .entry(report.service)
                .or_insert_with(|| ServiceShares::new(now))
                .on_report(before.as_ref(), &report, now);
        }
        self.refresh(now);
    }

    /// Forgets the customers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(CustomerHash) -> bool) {
        for reported in self.sources.values_mut() {
            reported.retain(|report| report.customer.is_none_or(&is_listed));
        }
        for service in self.services.values_mut() {
            service.retain(&is_listed);
        }
    }

    fn demand_mut(
        &mut self,
        service: &ServiceId,
        customer: &CustomerId,
        now: Instant,
    ) -> &mut CustomerDemand {
        self.service_mut(service.into(), now)
            .customer_mut(customer.into(), now)
    }

    fn service_mut(&mut self, id: ServiceHash, now: Instant) -> &mut ServiceShares {
        let new = || ServiceShares::new(now);
        self.services.entry(id).or_insert_with(new)
    }

    fn remove_earlier_incarnations(&mut self, source: &LoadSource, incarnation: u64) {
        let is_earlier = |reported: &ReportedUses| reported.incarnation() != incarnation;
        if !self.sources.get(source).is_some_and(is_earlier) {
            return;
        }
        if let Some(reported) = self.sources.swap_remove(source) {
            for report in reported.iter() {
                remove_report(&mut self.services, report);
            }
        }
    }

    /// Drops expired reports, updates the sums over all customers and forgets services without
    /// demand, if that is due.
    fn refresh(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.refreshed_at = Some(now);
        for reported in self.sources.values_mut() {
            for report in reported.take_expired(now) {
                remove_report(&mut self.services, &report);
            }
        }
        self.sources.retain(|_, reported| !reported.is_empty());
        let mut customers: IndexMap<ServiceHash, u32> = IndexMap::new();
        for report in self.sources.values().flat_map(ReportedUses::iter) {
            let known = customers.entry(report.service).or_default();
            *known = report.customers.max(*known);
        }
        for (id, service) in &mut self.services {
            service.set_reported_customers(customers.get(id).copied().unwrap_or(0));
            service.refresh(now);
        }
        self.services
            .retain(|_, service| !service.is_negligible(now));
    }
}

fn remove_report(services: &mut IndexMap<ServiceHash, ServiceShares>, report: &CustomerUse) {
    if let Some(service) = services.get_mut(&report.service) {
        service.remove_report(report);
    }
}

/// What the customers of a service wanted and used on this host within the last second.
fn own_uses(
    service: ServiceHash,
    shares: &ServiceShares,
    now: Instant,
) -> impl Iterator<Item = CustomerUse> {
    shares.customers().filter_map(move |(customer, demand)| {
        let report = CustomerUse {
            service,
            customer: Some(customer),
            customers: 0,
            wanted_us_per_s: demand.own_wanted_us_per_s(now),
            used_us_per_s: demand.own_used_us_per_s(now),
            call_us: whole(demand.own_call_us(now)),
            usual_us_per_s: whole(demand.usual_us_per_s()),
            usual_call_us: whole(demand.usual_call_us()),
            learned: demand.learned(),
        };
        (report.wanted_us_per_s + report.used_us_per_s > 0).then_some(report)
    })
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(us: f64) -> u64 {
    us.round() as u64
}
