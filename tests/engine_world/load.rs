//! The sites of the simulation and the requests that their callers send.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use banyanarch::units::seconds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::refusals::Refusals;

/// The properties of one class of requests. Lengths have a log-normal distribution with the given
/// mean and spread (standard deviation relative to the mean).
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Requests per second.
    pub per_s: f64,
    pub prompt_mean: f64,
    pub prompt_spread: f64,
    pub prompt_max: f64,
    pub events_mean: f64,
    pub events_spread: f64,
    /// Time in which the first event is on time.
    pub objective: Duration,
    /// Longest pause between two events that callers accept.
    pub pause: Duration,
    /// Time that callers wait for the whole answer.
    pub timeout: Duration,
    /// Worth of an answer of mean length that is on time; a late answer is worth a quarter.
    pub worth: f64,
}

/// A period of the load with a rate factor for each class.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub for_s: f64,
    pub factors: [f64; 3],
}

/// Indices of the classes in a site and in the factors of a phase.
pub const SHORT: usize = 0;
pub const MEDIUM: usize = 1;
pub const LONG: usize = 2;

impl Phase {
    /// Three phases of `for_s` seconds each: mostly long prompts at `long` times their rate, mostly
    /// short prompts, and mostly long prompts again.
    pub fn alternating(for_s: f64, long: f64) -> Vec<Self> {
        let phase = |factors| Self { for_s, factors };
        vec![
            phase([0.35, 1.3, long]),
            phase([2.4, 0.5, 0.05]),
            phase([0.35, 1.3, long]),
        ]
    }
}

/// A period in which some engines are slower.
#[derive(Clone, Copy, Debug)]
pub struct SlowPeriod {
    pub from: Duration,
    pub until: Duration,
    /// One engine in this many is slower.
    pub one_in: usize,
    pub slowdown: Slowdown,
    /// Delay until hosts know the slowdown. A delay beyond the end of the run stands for hosts that
    /// do not ask engines for their speed.
    pub known_after: Duration,
}

/// The hosts and engines of one deployment, and the requests of its callers.
#[derive(Clone, Debug)]
pub struct Site {
    pub hosts: usize,
    pub engines: usize,
    pub model: EngineModel,
    pub classes: [Class; 3],
    /// Interval between reports of a host whose work changes.
    pub report_interval: Duration,
    /// Number of failure domains. Hosts in the same domain send reports to each other directly.
    pub domains: usize,
    /// Delay of a report to hosts in other domains.
    pub far_report_delay: Duration,
    /// Age that hosts assume for reports from other domains.
    pub remote_load_age_max: Duration,
    /// Shortest interval between urgent reports about requests that were just sent.
    pub urgent_interval: Duration,
    /// Number of urgent reports that a host may send ahead of its even interval.
    pub urgent_burst: u32,
    pub slow: Option<SlowPeriod>,
    pub refusals: Option<Refusals>,
    /// Number of customers. The first one sends most.
    pub customers: usize,
    /// Number of hosts that get requests; none if all do.
    pub called_hosts: Option<usize>,
}

/// One request of a load.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub customer: usize,
    pub arrives: Duration,
    pub prompt: Tokens,
    pub output_max: Tokens,
    pub events: u32,
    pub worth: f64,
}

/// A period in which one customer sends many times its usual.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    pub customer: usize,
    pub from: Duration,
    pub until: Duration,
    /// The rate of the customer, as a multiple of its usual rate.
    pub factor: f64,
}

/// All requests of a run, in order of arrival.
#[derive(Clone, Debug)]
pub struct Load {
    pub requests: Vec<Request>,
}

fn secs(s: f64) -> Duration {
    seconds(s)
}

impl Site {
    /// 69 hosts and 78 engines.
    pub fn large() -> Self {
        let model = EngineModel {
            slots: 12,
            memory_tokens: Tokens(382_500),
            stride: 52,
            step_ms: 0.925,
            step_per_sequence_ms: 0.00483,
            step_per_kilotoken_ms: 0.00254,
            prefill_tokens_per_ms: 256.0,
            prefill_per_megapair_ms: 0.0917,
        };
        Self {
            hosts: 69,
            engines: 78,
            model,
            classes: [
                Class::short(133.0),
                Class::medium(12.2),
                Class::long(3.6, 300_000.0, 4.0, 30.0),
            ],
            report_interval: Duration::from_millis(170),
            domains: 1,
            far_report_delay: Duration::from_millis(2),
            remote_load_age_max: Duration::from_millis(170),
            urgent_interval: Duration::from_millis(10),
            urgent_burst: 3,
            slow: None,
            refusals: None,
            customers: 24,
            called_hosts: None,
        }
    }

    /// 79 hosts in three failure domains and 45 engines with less memory, with callers that accept
    /// longer pauses.
    pub fn shifted() -> Self {
        let mut site = Self::largest();
        site.hosts = 79;
        site.engines = 45;
        site.domains = 3;
        site.model = EngineModel {
            slots: 12,
            memory_tokens: Tokens(267_750),
            stride: 57,
            step_ms: 0.85,
            step_per_sequence_ms: 0.00425,
            step_per_kilotoken_ms: 0.00285,
            prefill_tokens_per_ms: 177.0,
            prefill_per_megapair_ms: 0.184,
        };
        site.report_interval = Duration::from_millis(65);
        for (class, per_s) in site.classes.iter_mut().zip([54.4, 5.98, 1.47]) {
            class.per_s = per_s;
            class.events_mean /= 0.73;
        }
        site.classes[LONG].prompt_mean = 220_000.0;
        site.classes[LONG].prompt_max = 700_000.0;
        site
    }

    /// Whether an engine refuses all requests at a time.
    pub fn refuses(&self, engine: usize, at: Duration) -> bool {
        self.refusals.is_some() && Refusals::refuses(engine, at)
    }

    /// The slowdown of an engine at a time.
    pub fn slowdown(&self, engine: usize, at: Duration) -> Slowdown {
        match self.slow {
            Some(slow)
                if engine.is_multiple_of(slow.one_in) && (slow.from..slow.until).contains(&at) =>
            {
                slow.slowdown
            }
            _ => Slowdown::NONE,
        }
    }

    /// The slowdown of an engine that hosts know of at a time.
    pub fn known_slowdown(&self, engine: usize, at: Duration) -> Slowdown {
        let known_after = self.slow.map_or(Duration::ZERO, |slow| slow.known_after);
        match at.checked_sub(known_after) {
            Some(seen_at) => self.slowdown(engine, seen_at),
            None => Slowdown::NONE,
        }
    }

    /// 8 hosts and 18 engines.
    pub fn middle() -> Self {
        let mut site = Self::small();
        site.hosts = 8;
        site.engines = 18;
        site.classes = [
            Class::short(39.5),
            Class::medium(2.87),
            Class::long(1.19, 210_000.0, 3.0, 22.0),
        ];
        site
    }

    /// 7 hosts and 23 engines.
    pub fn small() -> Self {
        let mut site = Self::large();
        site.hosts = 7;
        site.engines = 23;
        site.model.slots = 16;
        site.model.memory_tokens = Tokens(450_000);
        site.model.stride = 46;
        site.classes = [
            Class::short(50.5),
            Class::medium(3.66),
            Class::long(1.52, 210_000.0, 3.0, 22.0),
        ];
        site.report_interval = Duration::from_millis(15);
        site.remote_load_age_max = site.report_interval;
        site
    }

    /// 69 hosts in three failure domains and 60 engines.
    pub fn three_domains() -> Self {
        let mut site = Self::largest();
        site.hosts = 69;
        site.engines = 60;
        site.domains = 3;
        site.report_interval = Duration::from_millis(57);
        for class in &mut site.classes {
            class.per_s *= 60.0 / 195.0;
        }
        site
    }

    /// 195 hosts in five failure domains and 195 engines with few slots. Reports from other domains
    /// are sent by way of collectors.
    pub fn largest() -> Self {
        let mut site = Self::large();
        site.hosts = 195;
        site.engines = 195;
        site.model.slots = 10;
        site.model.memory_tokens = Tokens(450_000);
        site.model.stride = 73;
        site.classes = [
            Class::short(282.0),
            Class::medium(30.2),
            Class::long(6.91, 300_000.0, 4.0, 26.0),
        ];
        site.domains = 5;
        site.report_interval = Duration::from_millis(97);
        site.far_report_delay = Duration::from_millis(50);
        site.remote_load_age_max = Duration::from_millis(100);
        for (class, pause_ms) in site.classes.iter_mut().zip([250, 600, 1_000]) {
            class.pause = Duration::from_millis(pause_ms);
            class.events_mean *= 0.73;
        }
        site
    }
}

impl Class {
    fn short(per_s: f64) -> Self {
        Self {
            name: "short",
            per_s,
            prompt_mean: 5_000.0,
            prompt_spread: 0.9,
            prompt_max: 23_800.0,
            events_mean: 33.0,
            events_spread: 0.7,
            objective: secs(0.3),
            pause: secs(0.2),
            timeout: secs(10.0),
            worth: 1.4,
        }
    }

    fn medium(per_s: f64) -> Self {
        Self {
            name: "medium",
            per_s,
            prompt_mean: 45_000.0,
            prompt_spread: 0.5,
            prompt_max: 110_000.0,
            events_mean: 20.0,
            events_spread: 0.6,
            objective: secs(1.5),
            pause: secs(0.5),
            timeout: secs(10.0),
            worth: 2.6,
        }
    }

    fn long(per_s: f64, mean: f64, objective_s: f64, worth: f64) -> Self {
        Self {
            name: "long",
            per_s,
            prompt_mean: mean,
            prompt_spread: 0.55,
            prompt_max: 1_000_000.0,
            events_mean: 16.5,
            events_spread: 0.5,
            objective: secs(objective_s),
            pause: secs(0.8),
            timeout: secs(15.0),
            worth,
        }
    }
}

impl Load {
    /// Draws the requests of all phases from a seed.
    pub fn draw(site: &Site, phases: &[Phase], seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut from_s = 0.0;
        for phase in phases {
            for (class, factor) in phase.factors.iter().enumerate() {
                let rate = site.classes[class].per_s * factor;
                let mut at_s = from_s + gap_s(&mut rng, rate);
                while at_s < from_s + phase.for_s {
                    requests.push(request(site, class, at_s, &mut rng));
                    at_s += gap_s(&mut rng, rate);
                }
            }
            from_s += phase.for_s;
        }
        let mut customer_rng = StdRng::seed_from_u64(seed ^ CUSTOMERS_SEED_MASK);
        for request in &mut requests {
            request.customer = draw_customer(site, &mut customer_rng);
        }
        requests.sort_by_key(|request| request.arrives);
        Self { requests }
    }

    /// Adds the requests of a customer that sends more than usual, in the usual mix of classes.
    pub fn with_flood(mut self, site: &Site, flood: &Flood, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ FLOOD_SEED_MASK);
        let fraction = customer_weight(flood.customer) / customer_weights(site);
        for class in 0..site.classes.len() {
            let rate = site.classes[class].per_s * fraction * (flood.factor - 1.0);
            let mut at_s = flood.from.as_secs_f64() + gap_s(&mut rng, rate);
            while at_s < flood.until.as_secs_f64() {
                let customer = flood.customer;
                self.requests.push(Request {
                    customer,
                    ..request(site, class, at_s, &mut rng)
                });
                at_s += gap_s(&mut rng, rate);
            }
        }
        self.requests.sort_by_key(|request| request.arrives);
        self
    }
}

/// XORed with the seed of a load for the draws of customers, so that they do not change the others.
const CUSTOMERS_SEED_MASK: u64 = 0x00C0_57E5;
/// XORed with the seed of a load for the draws of a flood.
const FLOOD_SEED_MASK: u64 = 0x000F_100D;

/// What a customer sends relative to the others.
fn customer_weight(customer: usize) -> f64 {
    1.0 / (customer as f64 + 2.0)
}

fn customer_weights(site: &Site) -> f64 {
    (0..site.customers).map(customer_weight).sum()
}

fn draw_customer(site: &Site, rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * customer_weights(site);
    for customer in 0..site.customers {
        left -= customer_weight(customer);
        if left <= 0.0 {
            return customer;
        }
    }
    0
}

/// Time in seconds until the next arrival at a rate per second.
fn gap_s(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

fn log_normal(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    // Box-Muller transform.
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn request(site: &Site, class: usize, at_s: f64, rng: &mut StdRng) -> Request {
    let spec = &site.classes[class];
    let prompt = log_normal(rng, spec.prompt_mean, spec.prompt_spread).clamp(40.0, spec.prompt_max);
    let events_max = spec.events_mean * 2.5;
    let events = log_normal(rng, spec.events_mean, spec.events_spread).clamp(1.0, events_max);
    let weight = (0.3 + 0.7 * prompt / spec.prompt_mean).min(4.0);
    Request {
        class,
        customer: 0,
        arrives: secs(at_s),
        prompt: Tokens(prompt as u64),
        output_max: Tokens((events_max as u64) * u64::from(site.model.stride)),
        events: events as u32,
        worth: spec.worth * weight,
    }
}
