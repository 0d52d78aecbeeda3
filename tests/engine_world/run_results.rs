//! The results of a simulated run, as its callers see them.

use std::fmt;
use std::time::Duration;

use super::load::Class;

/// How one request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestResult {
    /// The first event and all pauses met the objectives of the class.
    OnTime,
    /// The request was answered, but its first event or a pause was too long.
    Late,
    /// The request was not answered.
    Refused,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub class: usize,
    pub customer: usize,
    pub arrives: Duration,
    pub result: RequestResult,
    /// Number of times that the request was refused.
    pub refusals: u32,
    /// Number of sends that an engine rejected because a helper had no free helper slot.
    pub rejected_sends: u32,
    /// Worth of the answer if it is on time.
    pub worth: f64,
    pub prompt_tokens: f64,
    /// Time from the last send to the first event.
    pub first_event: Option<Duration>,
    /// The forecast of that time.
    pub forecast: Duration,
}

/// The outcomes of all requests of a run.
#[derive(Clone, Debug)]
pub struct RunResults {
    pub outcomes: Vec<Outcome>,
    pub classes: Vec<Class>,
}

impl RunResults {
    /// The worth that was earned by a class, as a fraction of what could be earned.
    pub fn earned(&self, class: usize) -> f64 {
        earned(self.outcomes.iter().filter(|o| o.class == class))
    }

    /// The worth that was earned by all classes, as a fraction of what could be earned.
    pub fn earned_in_total(&self) -> f64 {
        earned(self.outcomes.iter())
    }

    /// The worth of requests that were refused, retried and not served, as a fraction of all worth.
    pub fn refused_again(&self) -> f64 {
        let again = |o: &&Outcome| o.refusals > 0 && o.result == RequestResult::Refused;
        let lost: f64 = self.outcomes.iter().filter(again).map(|o| o.worth).sum();
        let possible: f64 = self.outcomes.iter().map(|o| o.worth).sum();
        lost / possible.max(1e-9)
    }

    /// The fractions of requests that were served at all and on time, of those that arrived in a
    /// period and for which `is_counted` is true.
    pub fn served_between(
        &self,
        from: Duration,
        until: Duration,
        is_counted: impl Fn(&Outcome) -> bool,
    ) -> (f64, f64) {
        let period = from..until;
        let counted = self.outcomes.iter();
        let counted = counted.filter(|o| period.contains(&o.arrives) && is_counted(o));
        let counted: Vec<&Outcome> = counted.collect();
        let count = |is_included: &dyn Fn(RequestResult) -> bool| {
            let included = counted.iter().filter(|o| is_included(o.result)).count();
            included as f64 / counted.len().max(1) as f64
        };
        (
            count(&|result| result != RequestResult::Refused),
            count(&|result| result == RequestResult::OnTime),
        )
    }

    /// The fraction of the requests of a class that ended like this.
    pub fn fraction(&self, class: usize, result: RequestResult) -> f64 {
        let outcomes = self.outcomes.iter().filter(|o| o.class == class);
        let count = outcomes.clone().filter(|o| o.result == result).count();
        count as f64 / outcomes.count().max(1) as f64
    }

    /// The fractions of requests that were served, on time or late: of the largest tenth of a
    /// class, of the fifth below it and of the whole class.
    pub fn served_by_size(&self, class: usize) -> (f64, f64, f64) {
        let mut outcomes: Vec<&Outcome> =
            self.outcomes.iter().filter(|o| o.class == class).collect();
        outcomes.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
        let served = |part: &[&Outcome]| {
            let count = part
                .iter()
                .filter(|o| o.result != RequestResult::Refused)
                .count();
            count as f64 / part.len().max(1) as f64
        };
        let (tenth, third) = (outcomes.len() / 10, outcomes.len() * 3 / 10);
        (
            served(&outcomes[..tenth]),
            served(&outcomes[tenth..third]),
            served(&outcomes),
        )
    }

    /// The fractions of the possible worth that were earned: by the largest tenth of a class, by
    /// the fifth below it and by the rest.
    pub fn earned_by_size(&self, class: usize) -> (f64, f64, f64) {
        let mut outcomes: Vec<&Outcome> =
            self.outcomes.iter().filter(|o| o.class == class).collect();
        outcomes.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
        let (tenth, third) = (outcomes.len() / 10, outcomes.len() * 3 / 10);
        let earned = |part: &[&Outcome]| earned(part.iter().copied());
        (
            earned(&outcomes[..tenth]),
            earned(&outcomes[tenth..third]),
            earned(&outcomes[third..]),
        )
    }

    /// Number of sends that engines rejected because a helper had no free helper slot.
    pub fn rejected_sends(&self) -> u32 {
        self.outcomes.iter().map(|o| o.rejected_sends).sum()
    }

    /// A quantile of the forecast error in ms: how much later than forecast the first event came,
    /// negative if it came earlier. The forecast is that of the last send.
    pub fn error_ms(&self, class: usize, quantile: f64) -> f64 {
        let outcomes = self.outcomes.iter().filter(|o| o.class == class);
        let errors = outcomes.filter_map(|o| {
            let first = o.first_event?;
            Some((first.as_secs_f64() - o.forecast.as_secs_f64()) * 1e3)
        });
        let mut errors: Vec<f64> = errors.collect();
        errors.sort_by(f64::total_cmp);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (quantile * errors.len().saturating_sub(1) as f64) as usize;
        errors.get(index).copied().unwrap_or(0.0)
    }
}

/// The worth that was earned by these outcomes, as a fraction of what could be earned.
fn earned<'a>(outcomes: impl Iterator<Item = &'a Outcome> + Clone) -> f64 {
    let possible: f64 = outcomes.clone().map(|o| o.worth).sum();
    let earned = outcomes.map(|o| match o.result {
        RequestResult::OnTime => o.worth,
        RequestResult::Late => o.worth / 4.0,
        RequestResult::Refused => 0.0,
    });
    earned.sum::<f64>() / possible.max(1e-9)
}

impl fmt::Display for RunResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "earned {:.3}", self.earned_in_total())?;
        for (index, class) in self.classes.iter().enumerate() {
            write!(
                f,
                " | {} {:.3} late {:.3} refused {:.3} error p50 {:.0} p95 {:.0} ms",
                class.name,
                self.earned(index),
                self.fraction(index, RequestResult::Late),
                self.fraction(index, RequestResult::Refused),
                self.error_ms(index, 0.5),
                self.error_ms(index, 0.95),
            )?;
        }
        let (tenth, fifth, all) = self.served_by_size(2);
        write!(
            f,
            " | long served {all:.2}, largest {tenth:.2}, next {fifth:.2} | refused again {:.3}",
            self.refused_again(),
        )
    }
}
