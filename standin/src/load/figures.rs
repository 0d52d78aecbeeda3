//! Figures of a run.

use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::units::ContentHash;
use indexmap::IndexMap;
use serde::Serialize;

use crate::caller::CallOutcome;
use crate::caller::percentile_ms;
use crate::engine::RunEnd;
use crate::engine::RunRecord;
use crate::load::fairness::fairness;
use crate::load::player::Sample;

/// Start of the interval in which goodput is counted, in seconds into the run: requests that take
/// seconds can't complete in the first ones.
const RAMP_UP_S: f64 = 3.0;

/// Figures of one length class, or of all requests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct ClassFigures {
    pub(crate) class: String,
    pub(crate) sent: usize,
    pub(crate) completed: usize,
    /// Requests completed within their timeout.
    pub(crate) good: usize,
    pub(crate) not_run: usize,
    pub(crate) may_have_run: usize,
    /// Requests that were cut off without an outcome, or answered wrongly.
    pub(crate) broken: usize,
    pub(crate) ttft_p50_ms: Option<f64>,
    pub(crate) ttft_p95_ms: Option<f64>,
    pub(crate) ttft_p99_ms: Option<f64>,
    pub(crate) total_p95_ms: Option<f64>,
    /// 95th percentile of the total time when only this class is sent.
    pub(crate) alone_p95_ms: Option<f64>,
    /// 95th percentile of the total time divided by that of the class alone.
    pub(crate) slowdown_p95: Option<f64>,
}

/// Figures of a whole run.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Figures {
    pub(crate) classes: Vec<ClassFigures>,
    pub(crate) all: ClassFigures,
    /// Requests a second completed within their timeout, while requests arrive.
    pub(crate) goodput_per_s: f64,
    /// Prompt tokens a second of the requests that `goodput_per_s` counts.
    pub(crate) good_tokens_per_s: f64,
    /// Comparison with the baseline load, if the scenario has one.
    pub(crate) compared: Option<BaselineComparison>,
    /// Fraction of the engines' tokens that were not part of an answer completed within its
    /// timeout.
    pub(crate) wasted: f64,
    /// Jain's index over customers.
    pub(crate) jain: f64,
    /// Least fraction of its fair share that a customer got.
    pub(crate) least_of_fair: f64,
    /// Mean number of sends of a request.
    pub(crate) sendings: f64,
    /// Reasons of the requests that were not completed, with counts.
    pub(crate) reasons: IndexMap<String, usize>,
}

/// Comparison of a run with the baseline load that was played before it.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct BaselineComparison {
    /// Goodput of the baseline, in prompt tokens a second.
    pub(crate) good_tokens_per_s: f64,
    /// Fraction of the baseline's requests that completed within their timeout.
    pub(crate) good_share: f64,
    /// Goodput of this run divided by that of the baseline, in prompt tokens.
    pub(crate) goodput_ratio: f64,
}

impl Figures {
    /// Computes the figures from what callers got and what engines ran in `duration_s` seconds of
    /// arrivals.
    pub(crate) fn new(
        samples: &[Sample],
        alone: &[Vec<Sample>],
        runs: &[RunRecord],
        duration_s: f64,
    ) -> Self {
        let counted = RAMP_UP_S..duration_s;
        let good = samples
            .iter()
            .filter(|sample| sample.is_good() && counted.contains(&sample.ended_s()));
        let good_tokens: u64 = good
            .clone()
            .map(|sample| sample.request.prompt_tokens)
            .sum();
        let (jain, least_of_fair) = fairness(samples);
        let send_count: u32 = samples.iter().map(|sample| sample.send_count).sum();
        let class_figures = |class: &LengthClass| {
            let own: Vec<&Sample> = samples
                .iter()
                .filter(|s| s.request.class() == *class)
                .collect();
            let alone = alone
                .iter()
                .flatten()
                .filter(|s| s.request.class() == *class);
            (!own.is_empty()).then(|| ClassFigures::new(class.name(), &own, &totals(alone)))
        };
        Self {
            classes: LengthClass::ALL.iter().filter_map(class_figures).collect(),
            all: ClassFigures::new("all", &samples.iter().collect::<Vec<_>>(), &[]),
            goodput_per_s: good.count() as f64 / (duration_s - RAMP_UP_S),
            good_tokens_per_s: good_tokens as f64 / (duration_s - RAMP_UP_S),
            compared: None,
            wasted: wasted_fraction(samples, runs),
            jain,
            least_of_fair,
            sendings: f64::from(send_count) / samples.len().max(1) as f64,
            reasons: count_reasons(samples),
        }
    }

    /// Sets the comparison with the figures of the baseline load.
    pub(crate) fn set_baseline(&mut self, baseline: &Self) {
        self.compared = Some(BaselineComparison {
            good_tokens_per_s: baseline.good_tokens_per_s,
            good_share: baseline.all.good_share(),
            goodput_ratio: self.good_tokens_per_s / baseline.good_tokens_per_s,
        });
    }

    /// Returns the figures of a class, or `None` if no request of the class was sent.
    pub(crate) fn class(&self, class: LengthClass) -> Option<&ClassFigures> {
        self.classes
            .iter()
            .find(|figures| figures.class == class.name())
    }
}

impl ClassFigures {
    /// Returns the fraction of requests that completed within their timeout.
    pub(crate) fn good_share(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    fn new(name: &str, samples: &[&Sample], alone: &[Duration]) -> Self {
        let completed: Vec<&Sample> = samples
            .iter()
            .copied()
            .filter(|s| s.is_completed())
            .collect();
        let first: Vec<Duration> = completed
            .iter()
            .filter_map(|s| s.result.first_token)
            .collect();
        let totals = totals(completed.iter().copied());
        let total_p95_ms = percentile_ms(&totals, 95.0);
        let alone_p95_ms = percentile_ms(alone, 95.0);
        let count = |keep: fn(&CallOutcome) -> bool| {
            samples.iter().filter(|s| keep(&s.result.outcome)).count()
        };
        Self {
            class: name.to_owned(),
            sent: samples.len(),
            completed: completed.len(),
            good: samples.iter().filter(|s| s.is_good()).count(),
            not_run: count(|v| matches!(v, CallOutcome::NotRun { .. })),
            may_have_run: count(|v| matches!(v, CallOutcome::MayHaveRun(_))),
            broken: count(|v| matches!(v, CallOutcome::Cut(_) | CallOutcome::Wrong(_))),
            ttft_p50_ms: percentile_ms(&first, 50.0),
            ttft_p95_ms: percentile_ms(&first, 95.0),
            ttft_p99_ms: percentile_ms(&first, 99.0),
            total_p95_ms,
            alone_p95_ms,
            slowdown_p95: total_p95_ms
                .zip(alone_p95_ms)
                .map(|(mix, alone)| mix / alone),
        }
    }
}

/// Returns the total times of the completed requests.
fn totals<'a>(samples: impl Iterator<Item = &'a Sample>) -> Vec<Duration> {
    samples
        .filter(|sample| sample.is_completed())
        .map(|sample| sample.result.total)
        .collect()
}

fn count_reasons(samples: &[Sample]) -> IndexMap<String, usize> {
    let mut reasons = IndexMap::new();
    for sample in samples {
        let reason = match &sample.result.outcome {
            CallOutcome::Completed => continue,
            CallOutcome::NotRun { reason, .. } => format!("not run: {reason}"),
            CallOutcome::MayHaveRun(reason) => format!("may have run: {reason}"),
            CallOutcome::Cut(reason) => format!("cut: {reason}"),
            CallOutcome::Wrong(reason) => format!("wrong: {reason}"),
        };
        *reasons.entry(reason).or_insert(0) += 1;
    }
    reasons
}

/// Returns the wasted fraction of the tokens that engines prefilled and generated for the requests
/// of `samples`: those that do not belong to an answer received within its timeout. Of several runs
/// of one request only one completed run counts as useful. Runs of other requests are ignored.
/// Returns 0 if no token was processed.
fn wasted_fraction(samples: &[Sample], runs: &[RunRecord]) -> f64 {
    let mut is_good: IndexMap<ContentHash, bool> = samples
        .iter()
        .map(|sample| (sample.body_hash, sample.is_good()))
        .collect();
    let (mut all, mut useful) = (0, 0);
    for run in runs {
        let Some(good) = is_good.get_mut(&run.request_hash) else {
            continue;
        };
        let tokens = run.prefilled_tokens + run.output_tokens;
        all += tokens;
        if *good && run.end == Some(RunEnd::Completed) {
            useful += tokens;
            *good = false;
        }
    }
    match all {
        0 => 0.0,
        all => 1.0 - useful as f64 / all as f64,
    }
}
