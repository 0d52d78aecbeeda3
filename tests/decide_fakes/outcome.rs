//! The outcomes of a simulation.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::decide::RefuseReason;
use banyanarch::units::Tokens;

use super::RequestSpec;

/// The outcome of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub request: RequestSpec,
    /// The time from the request to its first token.
    pub first_token: Option<Duration>,
    /// The time from the request to its end, if the request completed before its deadline.
    pub completed: Option<Duration>,
    pub refused: Option<RefuseReason>,
    /// The indexes of the engines that ran the last attempt.
    pub engines: Vec<usize>,
    pub attempts: u32,
}

/// The outcomes of several requests.
pub struct Outcomes(pub Vec<Outcome>);

impl Outcomes {
    /// The outcomes for which `keep` returns true.
    pub fn only(&self, keep: impl Fn(&Outcome) -> bool) -> Self {
        Self(
            self.0
                .iter()
                .filter(|outcome| keep(outcome))
                .cloned()
                .collect(),
        )
    }

    /// The outcomes of requests of this length class.
    pub fn class(&self, class: LengthClass) -> Self {
        self.only(|outcome| LengthClass::of(Tokens(outcome.request.prompt)) == class)
    }

    /// The outcomes of this customer's requests.
    pub fn customer(&self, name: &str) -> Self {
        self.only(|outcome| outcome.request.customer == name)
    }

    /// The given quantile of the time to first token in seconds, over requests that got one.
    pub fn ttft(&self, quantile: f64) -> f64 {
        let mut all: Vec<f64> = self
            .0
            .iter()
            .filter_map(|o| o.first_token)
            .map(|t| t.as_secs_f64())
            .collect();
        all.sort_by(f64::total_cmp);
        let index = (all.len() as f64 * quantile) as usize;
        all.get(index.min(all.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }

    /// The number of requests that completed before their deadline.
    pub fn completed(&self) -> usize {
        self.0
            .iter()
            .filter(|outcome| outcome.completed.is_some())
            .count()
    }

    /// The number of requests that a policy refused.
    pub fn refused(&self) -> usize {
        self.0
            .iter()
            .filter(|outcome| outcome.refused.is_some())
            .count()
    }

    /// The fraction of requests that completed before their deadline.
    pub fn completed_fraction(&self) -> f64 {
        self.completed() as f64 / self.0.len().max(1) as f64
    }

    /// The prompt and answer tokens of requests that completed before their deadline.
    pub fn goodput(&self) -> f64 {
        let completed = self.0.iter().filter(|outcome| outcome.completed.is_some());
        completed
            .map(|o| (o.request.prompt + o.request.output) as f64)
            .sum()
    }
}
