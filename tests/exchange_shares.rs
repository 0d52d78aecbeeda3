//! What hosts learn of the customers of all other hosts through the exchange: how soon, how exactly
//! and at which cost.

mod exchange_world;

use std::time::Duration;

use banyanarch::decide::ShareFigures;
use banyanarch::units::CustomerId;
use banyanarch::units::ServiceId;
use exchange_world::CHANGES_PER_S;
use exchange_world::Measurements;
use exchange_world::World;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// The engine time of each call.
const COST: Duration = Duration::from_millis(50);
/// The time for which calls are drawn at once.
const STEP: Duration = Duration::from_millis(50);
/// The customer that floods the service.
const FLOODING: usize = 7;
/// The entries of one message at most: 16 customers by name and the others together, and as many
/// that have stopped.
const ENTRIES_MAX: usize = 34;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceId {
    "chat".parse().unwrap()
}

fn customer(index: usize) -> CustomerId {
    format!("customer-{index}").parse().unwrap()
}

/// A fleet whose customers send calls to all hosts alike.
struct Site {
    world: World,
    /// Calls per second of each customer.
    rates: Vec<f64>,
    /// The fraction of calls for which there is room.
    sent_fraction: f64,
    rng: StdRng,
}

impl Site {
    fn new(world: World, customers: usize, calls_per_s: f64, seed: u64) -> Self {
        Self {
            world,
            rates: vec![calls_per_s; customers],
            sent_fraction: 1.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A fleet at its usual load for a while.
    fn at_usual_load(hosts: usize, domains: usize, customers: usize, seed: u64) -> Self {
        let mut world = World::new(hosts, domains, 0, seed);
        world.set_changes(CHANGES_PER_S);
        let mut site = Self::new(world, customers, 100.0 / customers as f64, seed);
        site.run_for(ms(6_000));
        site
    }

    /// Begins a flood of one customer, for which most of the calls find no room.
    fn begin_flood(&mut self) {
        self.rates[FLOODING] *= 60.0;
        self.sent_fraction = 0.2;
    }

    fn run_for(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            for customer in 0..self.rates.len() {
                self.draw_calls(customer);
            }
            self.world.run_for(STEP);
        }
    }

    fn draw_calls(&mut self, index: usize) {
        let mut at = self.draw_gap(index);
        while at < STEP.as_secs_f64() {
            let live: Vec<usize> = self.live_hosts().collect();
            let host = live[self.rng.random_range(0..live.len())];
            let now = self.world.instant();
            let shares = &mut self.world.nodes[host].shares;
            shares.on_arrival(&service(), &customer(index), COST, now);
            if self.rng.random::<f64>() < self.sent_fraction {
                shares.on_send(&service(), &customer(index), COST, now);
            }
            at += self.draw_gap(index);
        }
    }

    fn draw_gap(&mut self, index: usize) -> f64 {
        -f64::ln(1.0 - self.rng.random_range(0.0..1.0)) / self.rates[index]
    }

    fn live_hosts(&self) -> impl Iterator<Item = usize> {
        let hosts = 0..self.world.nodes.len();
        hosts.filter(|host| self.world.nodes[*host].is_up)
    }

    fn figures(&self, host: usize, index: usize) -> ShareFigures {
        let shares = &self.world.nodes[host].shares;
        shares.figures(&service(), &customer(index), self.world.instant())
    }

    /// The number of hosts that take a customer to be above its share.
    fn hosts_that_see_above(&self, index: usize) -> usize {
        self.live_hosts()
            .filter(|host| self.figures(*host, index).standing().is_above_share())
            .count()
    }

    /// What a host takes all customers together to want, in seconds of engine time per second.
    fn wanted_in_total(&self, host: usize) -> f64 {
        let customers = 0..self.rates.len();
        let wanted = customers.map(|index| self.figures(host, index).wanted_us_per_s);
        wanted.sum::<f64>() / 1e6
    }
}

/// Each host of a large fleet sees a call of a flooding customer every few seconds. All of them must
/// set it apart, and no other customer, before the flood has taken the places.
#[parameterized(
    small = { 6, 3, 1 },
    with_collectors = { 82, 3, 2 },
)]
fn a_flood_is_known_to_all_hosts_within_half_a_second(hosts: usize, domains: usize, seed: u64) {
    let mut site = Site::at_usual_load(hosts, domains, 24, seed);
    site.begin_flood();
    site.run_for(ms(500));
    assert_eq!(site.hosts_that_see_above(FLOODING), hosts);
    let others = (0..24).filter(|customer| *customer != FLOODING);
    let above: Vec<usize> = others
        .map(|other| site.hosts_that_see_above(other))
        .collect();
    println!("{hosts} hosts: others above {above:?}");
    assert!(above.iter().all(|hosts| *hosts == 0), "{above:?}");
}

/// With 333 customers, messages that name all of them would grow with their number. If the unnamed
/// ones were left out instead, an equal part would be too large by their number.
#[test]
fn messages_name_few_of_many_customers_and_count_all() {
    let mut site = Site::at_usual_load(60, 3, 333, 3);
    site.rates = vec![1.2; 333];
    site.run_for(ms(1_500));
    let entries = site.world.nodes.iter().map(|node| node.customer_uses_max);
    let entries = entries.max().unwrap();
    assert!((17..=ENTRIES_MAX).contains(&entries), "{entries} entries");
    // About 233 of the customers call within a second, and 20 s of engine time are used in it.
    let known = (0..333).map(|index| site.figures(0, index).equal_part_us_per_s);
    let equal_part = known.fold(0.0, f64::max);
    println!("an equal part is {equal_part:.0} us/s");
    assert!((43_000.0..172_000.0).contains(&equal_part), "{equal_part}");
}

/// When a collector dies, its successor reports the same customers. Both together would double what
/// they want, and a gap would hide a flood.
#[test]
fn customers_are_counted_once_when_a_collector_dies() {
    let mut site = Site::at_usual_load(60, 3, 24, 4);
    let collector = site.world.collector_of(0);
    site.world.kill(collector);
    for _ in 0..10 {
        site.run_for(ms(300));
        let wanted = [1, 2].map(|witness| site.wanted_in_total(witness));
        println!("{wanted:?} s/s wanted of 5");
        assert!(wanted.iter().all(|wanted| *wanted < 7.5), "{wanted:?}");
    }
    let wanted = site.wanted_in_total(1);
    assert!(wanted > 3.5, "{wanted}");
}

/// A failure domain that is cut off knows what its own hosts are asked for, and must neither go on
/// counting the others nor take its customers for gone.
#[test]
fn a_partitioned_domain_knows_its_own_customers() {
    let mut site = Site::at_usual_load(60, 3, 24, 5);
    site.world.set_partitioned("domain-0", true);
    site.run_for(ms(2_000));
    let (inside, outside) = (site.wanted_in_total(0), site.wanted_in_total(1));
    println!("{inside:.2} s/s wanted inside, {outside:.2} outside");
    assert!((0.8..2.6).contains(&inside), "{inside}");
    assert!((2.2..4.6).contains(&outside), "{outside}");
    site.begin_flood();
    site.run_for(ms(1_000));
    assert_eq!(site.hosts_that_see_above(FLOODING), 60);
    site.world.set_partitioned("domain-0", false);
    site.run_for(ms(4_000));
    let (inside, outside) = (site.wanted_in_total(0), site.wanted_in_total(1));
    assert!((inside / outside - 1.0).abs() < 0.3, "{inside} {outside}");
}

/// A lost message leaves a wrong state for longer than a few of the intervals at which entries are
/// repeated.
#[test]
fn lost_messages_do_not_hide_a_flood() {
    let mut site = Site::at_usual_load(60, 3, 24, 6);
    site.world.loss_rate = 0.1;
    site.begin_flood();
    site.run_for(ms(1_000));
    assert_eq!(site.hosts_that_see_above(FLOODING), 60);
}

/// Entries about customers that have stopped would be sent for ever.
#[test]
fn messages_name_no_customers_when_nobody_calls() {
    let mut site = Site::at_usual_load(36, 3, 24, 7);
    site.rates = vec![0.0; 24];
    site.run_for(ms(3_000));
    for node in &mut site.world.nodes {
        node.customer_uses_max = 0;
    }
    site.run_for(ms(1_000));
    let mut nodes = site.world.nodes.iter();
    assert!(nodes.all(|node| node.customer_uses_max == 0));
}

/// The customers' entries must not add messages, which a host can receive a limited number of.
#[test]
fn customers_add_no_messages() {
    let received = [0, 24, 333].map(|customers| {
        let mut site = Site::at_usual_load(82, 3, customers, 8);
        site.world.measurements = Measurements::new(82);
        site.run_for(ms(2_000));
        let measured = &site.world.measurements;
        let received = measured.received_median() / 2;
        println!(
            "82 hosts, {customers} customers: {received} to {} messages a second received, bytes a \
             second sent by one {}, between domains {}",
            measured.received_max() / 2,
            measured.sent_bytes_max() / 2,
            measured.cross_domain_bytes / 2
        );
        received
    });
    assert!(received[1] <= received[0] * 21 / 20, "{received:?}");
    assert!(received[2] <= received[0] * 21 / 20, "{received:?}");
}
