//! Scenarios: arriving load and faults injected during the run.

use banyanarch::decide::LengthClass;
use serde_json::Value;
use serde_json::json;

use crate::fleet::FleetPlan;
use crate::load::LoadOptions;

const DOMAIN: &str = "hall-a";
const ENGINES: usize = 8;
const HOSTS: usize = 3;

/// A load scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Description of the load in one phrase.
    pub(crate) about: &'static str,
    pub(crate) plan: FleetPlan,
    /// Duration of arrivals, in seconds.
    pub(crate) duration_s: f64,
    /// How long each class is played alone before the run, in seconds.
    pub(crate) class_alone_s: f64,
    /// Classes with the fraction of the time of all engines that their arrivals need.
    pub(crate) mix: Vec<(LengthClass, f64)>,
    /// Whether the fractions of `mix` refer to the throughput of the engines with the mix, which is
    /// higher than with its classes one after the other.
    pub(crate) is_relative_to_mix_capacity: bool,
    pub(crate) pattern: ArrivalPattern,
    /// Customers with their fractions of the arrivals.
    pub(crate) customers: Vec<(String, f64)>,
    /// Fraction of requests that begin with the same text.
    pub(crate) hot_fraction: f64,
    /// Engine faults: time in seconds, affected engines, and the faults as JSON.
    pub(crate) faults: Vec<(f64, EngineSelection, Value)>,
    /// Whether callers resend failed requests as soon as they may.
    pub(crate) resends_failed: bool,
    /// Factor on the load of a baseline that is played first, to compare goodput with.
    pub(crate) baseline_load: Option<f64>,
}

/// Pattern of arrivals.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ArrivalPattern {
    /// Random arrivals at a constant rate.
    Even,
    /// Random arrivals, at a higher rate between `from_s` and `until_s`.
    Burst {
        from_s: f64,
        until_s: f64,
        rate_factor: f64,
    },
    /// All arrivals at common instants.
    Synchronized { period_s: f64 },
}

/// Selection of the engines that get a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineSelection {
    All,
    First,
    Even,
}

impl EngineSelection {
    pub(crate) fn contains(self, index: usize) -> bool {
        match self {
            Self::All => true,
            Self::First => index == 0,
            Self::Even => index.is_multiple_of(2),
        }
    }
}

impl Scenario {
    /// Returns the scenario named by the options.
    pub(crate) fn named(options: &LoadOptions) -> Option<Self> {
        let mut scenario = match options.scenario.as_str() {
            "burst" => burst(),
            "two-customers" => two_customers(),
            "hot-key" => hot_key(),
            "slow-upstream" => slow_upstream(),
            "short-among-long" => short_among_long(),
            "saturation" => saturation(),
            "retry-storm" => retry_storm(),
            "wrong-reports" => wrong_reports(),
            "seven-hosts" => seven_hosts(),
            _ => return None,
        };
        scenario.plan.policy = options.policy;
        scenario.plan.objective = match options.objective.as_str() {
            "first_token" => "first_token",
            _ => "short_slowdown",
        };
        let customers = scenario.customers.iter();
        scenario.plan.customers = customers.map(|(name, _)| (name.clone(), 1)).collect();
        scenario.plan.customers.push(("default".to_owned(), 1));
        Some(scenario)
    }

    /// Returns the customer for a random number `draw` between 0 and 1.
    pub(crate) fn customer(&self, draw: f64) -> String {
        let mut remaining = draw;
        for (name, share) in &self.customers {
            if remaining < *share {
                return name.clone();
            }
            remaining -= share;
        }
        self.customers[0].0.clone()
    }
}

fn base(name: &'static str, about: &'static str, mix: &[(LengthClass, f64)]) -> Scenario {
    Scenario {
        name,
        about,
        plan: FleetPlan::new(&[DOMAIN], ENGINES, 0, HOSTS),
        duration_s: 16.0,
        class_alone_s: 3.5,
        mix: mix.to_vec(),
        is_relative_to_mix_capacity: false,
        pattern: ArrivalPattern::Even,
        customers: even_customers(8, 1.0),
        hot_fraction: 0.0,
        faults: Vec::new(),
        resends_failed: false,
        baseline_load: None,
    }
}

fn even_customers(count: usize, share: f64) -> Vec<(String, f64)> {
    let customer = |number| (format!("customer-{number}"), share / count as f64);
    (1..=count).map(customer).collect()
}

fn burst() -> Scenario {
    let mix = [(LengthClass::Short, 0.2), (LengthClass::Medium, 0.2)];
    Scenario {
        pattern: ArrivalPattern::Burst {
            from_s: 5.0,
            until_s: 7.0,
            rate_factor: 10.0,
        },
        ..base("burst", "ten times the usual load for two seconds", &mix)
    }
}

fn two_customers() -> Scenario {
    let mix = [(LengthClass::Short, 0.6), (LengthClass::Medium, 0.6)];
    let mut customers = vec![("large-1".to_owned(), 0.45), ("large-2".to_owned(), 0.45)];
    customers.extend(even_customers(8, 0.1));
    Scenario {
        is_relative_to_mix_capacity: true,
        customers,
        ..base(
            "two-customers",
            "1.2 times capacity, 90 percent of it from two of ten customers",
            &mix,
        )
    }
}

fn hot_key() -> Scenario {
    let mix = [(LengthClass::Short, 0.2), (LengthClass::Medium, 0.5)];
    Scenario {
        hot_fraction: 0.5,
        ..base(
            "hot-key",
            "half of all prompts begin with the same text",
            &mix,
        )
    }
}

fn slow_upstream() -> Scenario {
    let mix = [(LengthClass::Short, 0.25), (LengthClass::Medium, 0.25)];
    Scenario {
        faults: vec![(4.0, EngineSelection::First, json!({"slow_factor": 5.0}))],
        ..base(
            "slow-upstream",
            "one engine gets five times slower after 4 s",
            &mix,
        )
    }
}

fn short_among_long() -> Scenario {
    let mix = [
        (LengthClass::Short, 0.15),
        (LengthClass::Long, 0.25),
        (LengthClass::Huge, 0.25),
    ];
    base(
        "short-among-long",
        "clause lookups while long prompts take half of the engines' time",
        &mix,
    )
}

fn saturation() -> Scenario {
    let mix = [
        (LengthClass::Short, 0.8),
        (LengthClass::Medium, 0.8),
        (LengthClass::Long, 0.4),
    ];
    Scenario {
        duration_s: 11.0,
        class_alone_s: 1.0,
        is_relative_to_mix_capacity: true,
        baseline_load: Some(0.5),
        ..base("saturation", "twice what the engines can do", &mix)
    }
}

fn retry_storm() -> Scenario {
    let mix = [(LengthClass::Short, 0.35), (LengthClass::Medium, 0.25)];
    Scenario {
        faults: vec![
            (4.0, EngineSelection::All, json!({"fail_one_in": 1})),
            (7.0, EngineSelection::All, json!({})),
        ],
        resends_failed: true,
        ..base(
            "retry-storm",
            "all engines fail from 4 s to 7 s, and callers send again at once",
            &mix,
        )
    }
}

fn wrong_reports() -> Scenario {
    let mix = [(LengthClass::Short, 0.3), (LengthClass::Medium, 0.4)];
    let mut scenario = base(
        "wrong-reports",
        "reports are 3 s old, and those of half of the engines say that they are idle",
        &mix,
    );
    scenario.plan.engine.report_lag_ms = 3_000;
    scenario.faults = vec![(0.0, EngineSelection::Even, json!({"report_factor": 0.0}))];
    scenario
}

fn seven_hosts() -> Scenario {
    let mix = [(LengthClass::Short, 0.3), (LengthClass::Medium, 0.3)];
    let mut scenario = base(
        "seven-hosts",
        "seven hosts get their requests at the same instants, twice a second",
        &mix,
    );
    scenario.plan.hosts = FleetPlan::new(&[DOMAIN], 0, 0, 7).hosts;
    scenario.pattern = ArrivalPattern::Synchronized { period_s: 0.5 };
    scenario
}
