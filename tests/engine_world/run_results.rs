//! The results of a run, as its callers see them.

use std::fmt;
use std::time::Duration;

use super::load::Class;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    OnTime,
    Late,
    Refused,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub class: usize,
    pub ended: Ended,
    /// Number of times that the request was refused.
    pub refusals: u32,
    /// Sends that an engine rejected because a helper had no free helper slot.
    pub rejected_sends: u32,
    pub worth: f64,
    pub prompt_tokens: f64,
    pub first_event: Option<Duration>,
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

    pub fn earned_all(&self) -> f64 {
        earned(self.outcomes.iter())
    }

    /// The worth of requests that were refused, retried and not served, as a fraction of all worth.
    pub fn refused_again(&self) -> f64 {
        let again = |o: &&Outcome| o.refusals > 0 && o.ended == Ended::Refused;
        let lost: f64 = self.outcomes.iter().filter(again).map(|o| o.worth).sum();
        let owed: f64 = self.outcomes.iter().map(|o| o.worth).sum();
        lost / owed.max(1e-9)
    }

    pub fn part(&self, class: usize, ended: Ended) -> f64 {
        let of = self.outcomes.iter().filter(|o| o.class == class);
        let count = of.clone().filter(|o| o.ended == ended).count();
        count as f64 / of.count().max(1) as f64
    }

    /// The fractions of requests that were served, on time or late: of the largest tenth of a
    /// class, of the fifth below it and of the whole class.
    pub fn served_by_size(&self, class: usize) -> (f64, f64, f64) {
        let mut of: Vec<&Outcome> = self.outcomes.iter().filter(|o| o.class == class).collect();
        of.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
        let served = |part: &[&Outcome]| {
            let count = part.iter().filter(|o| o.ended != Ended::Refused).count();
            count as f64 / part.len().max(1) as f64
        };
        let (tenth, third) = (of.len() / 10, of.len() * 3 / 10);
        (served(&of[..tenth]), served(&of[tenth..third]), served(&of))
    }

    /// The fractions of the possible worth that were earned: by the largest tenth of a class, by
    /// the fifth below it and by the rest.
    pub fn earned_by_size(&self, class: usize) -> (f64, f64, f64) {
        let mut of: Vec<&Outcome> = self.outcomes.iter().filter(|o| o.class == class).collect();
        of.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
        let (tenth, third) = (of.len() / 10, of.len() * 3 / 10);
        let earned = |part: &[&Outcome]| earned(part.iter().copied());
        (
            earned(&of[..tenth]),
            earned(&of[tenth..third]),
            earned(&of[third..]),
        )
    }

    /// Sends that engines rejected because a helper had no free helper slot.
    pub fn rejected_sends(&self) -> u32 {
        self.outcomes.iter().map(|o| o.rejected_sends).sum()
    }

    /// A quantile of the forecast error in ms: the time from the forecast of the last send to the
    /// first event, negative if the event came earlier.
    pub fn error_ms(&self, class: usize, quantile: f64) -> f64 {
        let of = self.outcomes.iter().filter(|o| o.class == class);
        let errors = of.filter_map(|o| {
            let first = o.first_event?;
            Some((first.as_secs_f64() - o.forecast.as_secs_f64()) * 1e3)
        });
        let mut errors: Vec<f64> = errors.collect();
        errors.sort_by(f64::total_cmp);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let place = (quantile * errors.len().saturating_sub(1) as f64) as usize;
        errors.get(place).copied().unwrap_or(0.0)
    }
}

fn earned<'a>(of: impl Iterator<Item = &'a Outcome> + Clone) -> f64 {
    let owed: f64 = of.clone().map(|o| o.worth).sum();
    let got = of.map(|o| match o.ended {
        Ended::OnTime => o.worth,
        Ended::Late => o.worth / 4.0,
        Ended::Refused => 0.0,
    });
    got.sum::<f64>() / owed.max(1e-9)
}

impl fmt::Display for RunResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "earned {:.3}", self.earned_all())?;
        for (index, class) in self.classes.iter().enumerate() {
            write!(
                f,
                " | {} {:.3} late {:.3} refused {:.3} error p50 {:.0} p95 {:.0} ms",
                class.name,
                self.earned(index),
                self.part(index, Ended::Late),
                self.part(index, Ended::Refused),
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
