//! The shares of customers over all hosts: who is above its share, on which host and how soon.

use std::time::Duration;
use std::time::Instant;

use banyanarch::decide::CustomerShares;
use banyanarch::decide::CustomerUse;
use banyanarch::decide::LoadSource;
use banyanarch::decide::ShareFigures;
use banyanarch::decide::ShareStanding;
use banyanarch::units::CustomerHash;
use banyanarch::units::CustomerId;
use banyanarch::units::ServiceHash;
use banyanarch::units::ServiceId;
use banyanarch::units::seconds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// The engine time of each call.
const COST: Duration = Duration::from_millis(50);
/// The interval between two reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const CUSTOMERS: usize = 24;
/// A customer with ten times the load of the others.
const LARGE: usize = 0;
/// The customer that floods the service.
const FLOODING: usize = 7;
/// Calls per second of each customer but the large one.
const CALLS_PER_S: f64 = 4.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceId {
    "chat".parse().unwrap()
}

fn customer(index: usize) -> CustomerId {
    format!("customer-{index}").parse().unwrap()
}

fn host(index: usize) -> LoadSource {
    LoadSource::Host(format!("host-{index}").parse().unwrap())
}

/// Hosts that report what their customers want to the first `listeners` of them.
struct Fleet {
    hosts: Vec<CustomerShares>,
    /// What each host has reported last.
    reported: Vec<Vec<CustomerUse>>,
    is_up: Vec<bool>,
    /// Hosts of a version that reports nothing.
    silent: Vec<usize>,
    /// Hosts that hear no reports.
    deaf: Vec<usize>,
    listeners: usize,
    incarnation: u64,
    /// The host that gets no calls of the flooding customer.
    unseen_by: Option<usize>,
    /// The factors on the load of each customer.
    factors: Vec<f64>,
    /// The fraction of calls for which there is room.
    sent_fraction: f64,
    /// The fraction of reports that are lost.
    loss_rate: f64,
    rng: StdRng,
    now: Instant,
}

impl Fleet {
    fn new(hosts: usize, listeners: usize, seed: u64) -> Self {
        let mut factors = vec![1.0; CUSTOMERS];
        factors[LARGE] = 10.0;
        Self {
            hosts: (0..hosts).map(|_| CustomerShares::default()).collect(),
            reported: vec![Vec::new(); hosts],
            is_up: vec![true; hosts],
            silent: Vec::new(),
            deaf: Vec::new(),
            listeners,
            incarnation: 1,
            unseen_by: None,
            factors,
            sent_fraction: 1.0,
            loss_rate: 0.0,
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
        }
    }

    /// A fleet that has served its usual load for a while.
    fn at_usual_load(hosts: usize, listeners: usize, seed: u64) -> Self {
        let mut fleet = Self::new(hosts, listeners, seed);
        fleet.run_for(ms(20_000));
        fleet
    }

    /// Begins a flood of one customer, for which most of the calls find no room.
    fn begin_flood(&mut self) {
        self.factors[FLOODING] = 60.0;
        self.sent_fraction = 0.2;
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let step = REPORT_INTERVAL.min(end - self.now);
            self.draw_calls(step);
            self.now += step;
            self.report();
        }
    }

    fn draw_calls(&mut self, step: Duration) {
        let mut calls = Vec::new();
        for (customer, factor) in self.factors.iter().enumerate() {
            let rate = CALLS_PER_S * factor;
            let mut at = exponential(&mut self.rng) / rate;
            while at < step.as_secs_f64() {
                calls.push((seconds(at), customer));
                at += exponential(&mut self.rng) / rate;
            }
        }
        calls.sort_unstable();
        for (at, customer) in calls {
            self.call(customer, self.now + at);
        }
    }

    fn call(&mut self, index: usize, now: Instant) {
        let hosts = 0..self.hosts.len();
        let is_candidate = |host: &usize| {
            self.is_up[*host] && !(index == FLOODING && self.unseen_by == Some(*host))
        };
        let candidates: Vec<usize> = hosts.filter(is_candidate).collect();
        let host = candidates[self.rng.random_range(0..candidates.len())];
        let is_sent = self.rng.random::<f64>() < self.sent_fraction;
        let shares = &mut self.hosts[host];
        shares.on_arrival(&service(), &customer(index), COST, now);
        if is_sent {
            shares.on_send(&service(), &customer(index), COST, now);
        }
    }

    fn report(&mut self) {
        for sender in 0..self.hosts.len() {
            if !self.is_up[sender] || self.silent.contains(&sender) {
                continue;
            }
            let uses = self.hosts[sender].own_use(self.now);
            let before = std::mem::replace(&mut self.reported[sender], uses.clone());
            let reports: Vec<CustomerUse> = ended(before).chain(uses).collect();
            for listener in 0..self.listeners {
                let hears = listener != sender && !self.deaf.contains(&listener);
                if hears && self.rng.random::<f64>() >= self.loss_rate {
                    self.hosts[listener].record_use(
                        &host(sender),
                        self.incarnation,
                        reports.iter().copied(),
                        self.now,
                    );
                }
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = CustomerShares::default();
        self.reported[host].clear();
    }

    fn figures(&self, host: usize, index: usize) -> ShareFigures {
        self.hosts[host].figures(&service(), &customer(index), self.now)
    }

    fn standing(&self, host: usize, index: usize) -> ShareStanding {
        self.hosts[host].standing(&service(), &customer(index), self.now)
    }

    /// The customers that a host takes to be above their share.
    fn above(&self, host: usize) -> Vec<usize> {
        let customers = 0..CUSTOMERS;
        customers
            .filter(|customer| self.standing(host, *customer).is_above_share())
            .collect()
    }

    fn assert_only_the_flood_is_above(&self, hosts: impl IntoIterator<Item = usize>) {
        for host in hosts {
            assert_eq!(self.above(host), [FLOODING], "host {host}");
        }
    }
}

/// Reports that customers want nothing any more. They come before the new ones.
fn ended(reported: Vec<CustomerUse>) -> impl Iterator<Item = CustomerUse> {
    reported.into_iter().map(|report| CustomerUse {
        wanted_us_per_s: 0,
        used_us_per_s: 0,
        ..report
    })
}

fn exponential(rng: &mut StdRng) -> f64 {
    -f64::ln(1.0 - rng.random_range(0.0..1.0))
}

/// One customer sends 60 times its usual load, and each host sees a few of its calls at most. A
/// host that takes it for one like the others lets it have everybody's place.
#[parameterized(
    few_hosts = { 6, 1 },
    more_hosts = { 82, 2 },
    many_hosts = { 985, 3 },
)]
fn every_host_sets_a_flooding_customer_apart_within_half_a_second(hosts: usize, seed: u64) {
    let mut fleet = Fleet::at_usual_load(hosts, 6, seed);
    fleet.unseen_by = Some(0);
    fleet.begin_flood();
    fleet.run_for(ms(500));
    fleet.assert_only_the_flood_is_above(0..6);
    fleet.run_for(ms(3_000));
    fleet.assert_only_the_flood_is_above(0..6);
}

/// A customer with a third of the load is refused for its size when engines fail.
#[test]
fn a_large_customer_at_its_usual_load_is_within_its_share() {
    let mut fleet = Fleet::at_usual_load(6, 6, 4);
    fleet.sent_fraction = 0.5;
    fleet.run_for(ms(2_000));
    let figures = fleet.figures(0, LARGE);
    assert!(figures.wanted_us_per_s > 2.0 * figures.equal_part_us_per_s);
    assert_eq!(fleet.above(0), [0; 0]);
}

/// When the load of all customers grows alike, none is to pay for the others.
#[test]
fn no_customer_is_above_its_share_when_all_want_twice_their_usual() {
    let mut fleet = Fleet::at_usual_load(6, 6, 5);
    fleet.factors = fleet.factors.iter().map(|factor| 2.0 * factor).collect();
    fleet.sent_fraction = 0.5;
    fleet.run_for(ms(2_000));
    assert_eq!(fleet.above(0), [0; 0]);
}

/// The largest customer doubles its load alone: a third of the service is at stake.
#[test]
fn a_large_customer_that_doubles_its_load_alone_is_above_its_share() {
    let mut fleet = Fleet::at_usual_load(6, 6, 6);
    fleet.factors[LARGE] *= 2.0;
    fleet.sent_fraction = 0.5;
    fleet.run_for(ms(2_000));
    assert_eq!(fleet.above(0), [LARGE]);
}

/// A host that starts during a flood takes the flood for the usual load, and a large customer for a
/// flood.
#[test]
fn a_host_that_starts_learns_the_usual_demand_from_the_others() {
    let mut fleet = Fleet::at_usual_load(6, 6, 7);
    fleet.begin_flood();
    fleet.run_for(ms(1_000));
    fleet.restart(2);
    fleet.run_for(ms(300));
    fleet.assert_only_the_flood_is_above([2]);
    let known = fleet.figures(0, LARGE).usual_us_per_s;
    let learned = fleet.figures(2, LARGE).usual_us_per_s;
    assert!((learned / known - 1.0).abs() < 0.1, "{learned} {known}");
}

/// A host without reports of others sees a part of each customer's load only. Compared with what is
/// usual for all hosts, a flood there would look small and all others absent.
#[test]
fn a_host_that_hears_nobody_judges_by_what_arrives_there() {
    let mut fleet = Fleet::new(6, 6, 8);
    fleet.deaf = vec![1];
    fleet.run_for(ms(20_000));
    fleet.begin_flood();
    fleet.run_for(ms(1_000));
    fleet.assert_only_the_flood_is_above([1]);
}

/// While a fleet is upgraded, half of the hosts report nothing.
#[test]
fn hosts_of_a_version_without_reports_do_not_hide_a_flood() {
    let mut fleet = Fleet::new(6, 6, 9);
    fleet.silent = vec![3, 4, 5];
    fleet.run_for(ms(20_000));
    fleet.begin_flood();
    fleet.run_for(ms(1_000));
    fleet.assert_only_the_flood_is_above(0..3);
}

/// When half of the hosts die, their customers' calls arrive at the others. What the dead hosts
/// reported must not be counted on top, and the usual demand must not shrink with them.
#[test]
fn the_demand_at_hosts_that_die_is_forgotten_within_a_second() {
    let mut fleet = Fleet::at_usual_load(6, 6, 10);
    for host in 3..6 {
        fleet.is_up[host] = false;
    }
    fleet.run_for(ms(1_200));
    let figures = fleet.figures(0, LARGE);
    let ratio = figures.wanted_us_per_s / figures.usual_us_per_s;
    assert!((0.6..1.4).contains(&ratio), "{ratio}");
    assert_eq!(fleet.above(0), [0; 0]);
}

/// A host that restarts reports under a new incarnation. The calls at its former one are gone.
#[test]
fn reports_of_a_former_incarnation_are_dropped() {
    let now = Instant::now();
    let mut shares = CustomerShares::default();
    shares.record_use(&host(1), 1, [report(1, 900_000)], now);
    shares.record_use(&host(1), 2, [report(2, 100_000)], now);
    let wanted = |index| {
        shares
            .figures(&service(), &customer(index), now)
            .wanted_us_per_s
    };
    assert_eq!([wanted(1), wanted(2)], [0.0, 100_000.0]);
}

/// Lost messages: state that is repeated corrects them, a running total would not.
#[test]
fn lost_reports_do_not_set_other_customers_apart() {
    let mut fleet = Fleet::new(6, 6, 11);
    fleet.loss_rate = 0.3;
    fleet.run_for(ms(20_000));
    fleet.begin_flood();
    fleet.run_for(ms(1_000));
    fleet.assert_only_the_flood_is_above(0..6);
}

/// A flood that becomes the usual load stops to count as one while it lasts, and the customer keeps
/// a large share after it.
#[test]
fn a_flood_is_not_learned_as_usual() {
    let mut fleet = Fleet::at_usual_load(6, 6, 12);
    let before = fleet.figures(0, FLOODING).usual_us_per_s;
    fleet.begin_flood();
    fleet.run_for(ms(10_000));
    fleet.assert_only_the_flood_is_above(0..6);
    assert!(fleet.standing(0, FLOODING).ratio > 3.0);
    let after = fleet.figures(0, FLOODING).usual_us_per_s;
    assert!(after < 4.0 * before, "{after} {before}");
}

/// A customer whose load has grown for good must not count as flooding for ever.
#[test]
fn a_lasting_growth_is_learned() {
    let mut fleet = Fleet::at_usual_load(2, 2, 13);
    fleet.factors[LARGE] *= 3.0;
    fleet.run_for(ms(1_500));
    assert_eq!(fleet.above(0), [LARGE]);
    fleet.run_for(ms(180_000));
    assert_eq!(fleet.above(0), [0; 0]);
}

/// While there is little room, an equal part is less than one call a second. A customer that is seen
/// for the first time would be above its share with its first call.
#[test]
fn the_first_call_of_a_customer_is_within_its_share() {
    let mut fleet = Fleet::new(6, 6, 14);
    fleet.factors = vec![0.1; CUSTOMERS];
    fleet.run_for(ms(20_000));
    fleet.sent_fraction = 0.2;
    fleet.run_for(ms(2_000));
    let new = customer(CUSTOMERS);
    fleet.hosts[0].on_arrival(&service(), &new, COST, fleet.now);
    let figures = fleet.figures(0, CUSTOMERS);
    assert!(figures.wanted_us_per_s > 1.5 * figures.equal_part_us_per_s);
    assert!(!figures.standing().is_above_share(), "{figures:?}");
}

/// A customer that the manifest no longer names keeps a share that nobody uses.
#[test]
fn a_customer_that_the_manifest_removes_is_forgotten() {
    let mut fleet = Fleet::at_usual_load(6, 6, 15);
    let removed = CustomerHash::from(&customer(LARGE));
    let (shares, now) = (&mut fleet.hosts[0], fleet.now);
    shares.retain(|customer| customer != removed);
    assert_eq!(
        shares.figures(&service(), &customer(LARGE), now),
        ShareFigures::default()
    );
    assert!(
        shares
            .own_use(now)
            .iter()
            .all(|own| own.customer != Some(removed))
    );
    assert!(
        shares
            .figures(&service(), &customer(1), now)
            .wanted_us_per_s
            > 0.0
    );
}

/// Reports of customers that the manifest no longer names would be subtracted from the new ones.
#[test]
fn reports_of_removed_customers_are_forgotten() {
    let now = Instant::now();
    let mut shares = CustomerShares::default();
    shares.record_use(&host(1), 1, [report(1, 900_000)], now);
    shares.retain(|_| false);
    assert_eq!(
        shares.figures(&service(), &customer(1), now),
        ShareFigures::default()
    );
    shares.record_use(&host(2), 1, [report(1, 100_000)], now);
    shares.record_use(&host(1), 1, [report(1, 300_000)], now);
    let figures = shares.figures(&service(), &customer(1), now);
    assert_eq!(figures.wanted_us_per_s, 400_000.0);
}

/// With 333 customers a report names the largest only. If the others were missing from the sums, an
/// equal part would be many times too large and a flood within it.
#[test]
fn customers_that_are_reported_together_count_in_the_equal_part() {
    let now = Instant::now();
    let mut shares = CustomerShares::default();
    let rest = CustomerUse {
        customer: None,
        customers: 333,
        ..report(0, 2_330_000)
    };
    shares.record_use(&host(1), 1, [report(1, 1_000_000), rest], now);
    let figures = shares.figures(&service(), &customer(1), now);
    assert!((figures.equal_part_us_per_s - 10_000.0).abs() < 1.0);
}

/// Calls without a customer, and customers of which nothing is known, are never held to a share.
#[test]
fn unknown_customers_are_within_their_share() {
    let shares = CustomerShares::default();
    let standing = shares.standing(&service(), &customer(1), Instant::now());
    assert!(!standing.is_above_share());
    assert!(!ShareStanding::within().is_above_share());
}

/// Nothing is reported of customers that have wanted nothing for a second.
#[test]
fn nothing_is_reported_without_calls() {
    let now = Instant::now();
    let mut shares = CustomerShares::default();
    shares.on_arrival(&service(), &customer(1), COST, now);
    assert_eq!(shares.own_use(now + ms(900)).len(), 1);
    assert_eq!(shares.own_use(now + ms(1_200)), []);
}

fn report(index: usize, us_per_s: u64) -> CustomerUse {
    CustomerUse {
        service: ServiceHash::from(&service()),
        customer: Some(CustomerHash::from(&customer(index))),
        customers: 0,
        wanted_us_per_s: us_per_s,
        used_us_per_s: us_per_s,
        call_us: 50_000,
        usual_us_per_s: us_per_s,
        usual_call_us: 50_000,
        learned: ms(60_000),
    }
}
