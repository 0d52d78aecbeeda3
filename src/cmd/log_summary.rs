//! Where answers were lost, by what hosts wrote into their decision logs.

use std::cmp::Reverse;
use std::fmt;

use indexmap::IndexMap;

use crate::cmd::logs::Line;
use crate::gateway::DecisionEvent;

/// The longest prompts of the rows, in tokens; the last row has no end.
const LENGTHS: [u64; 7] = [10_000, 25_000, 50_000, 100_000, 250_000, 500_000, 750_000];
/// The length of a stretch of time, in ms.
const STRETCH_MS: u64 = 2_000;
/// What is turned away within this time was not kept waiting, in ms.
const AT_ONCE_MS: i64 = 100;
/// Columns of outcomes, the most frequent ones; the others are counted together.
const OUTCOMES_MAX: usize = 5;

/// The last send of a request.
struct Send {
    prompt_tokens: u64,
    forecast_ms: u64,
    waited_ms: u64,
    engines: usize,
    reserves: usize,
    manifest_age_ms: u64,
}

/// Requests with prompts of about the same length.
#[derive(Default)]
struct Row {
    waited_ms: Vec<i64>,
    forecast_ms: Vec<i64>,
    first_event_ms: Vec<i64>,
    /// How much later than forecast; negative where sooner.
    error_ms: Vec<i64>,
    engines: usize,
    reserves: usize,
    /// How long requests that hosts turned away had waited, by reason.
    refused_after_ms: IndexMap<String, Vec<i64>>,
}

/// What became of the requests of several hosts.
pub(crate) struct Summary {
    rows: Vec<Row>,
    manifest_ages_ms: Vec<i64>,
    /// How many requests ended how, by the beginning of the stretch.
    stretches: IndexMap<u64, IndexMap<String, usize>>,
    outcomes: IndexMap<String, usize>,
    begins_ms: u64,
}

impl Summary {
    /// Takes lines in order of time.
    pub(crate) fn of(lines: &[Line]) -> Self {
        let mut summary = Self {
            rows: LENGTHS.iter().map(|_| Row::default()).collect(),
            manifest_ages_ms: Vec::new(),
            stretches: IndexMap::new(),
            outcomes: IndexMap::new(),
            begins_ms: lines.first().map_or(0, |line| line.wall_ms),
        };
        summary.rows.push(Row::default());
        let mut sends: IndexMap<(&str, &str), Send> = IndexMap::new();
        for line in lines {
            match &line.event {
                DecisionEvent::Sent {
                    request,
                    helpers,
                    reserves,
                    forecast_ms,
                    elapsed_ms,
                    prompt_tokens,
                    manifest_age_ms,
                    ..
                } => {
                    let send = Send {
                        prompt_tokens: *prompt_tokens,
                        forecast_ms: *forecast_ms,
                        waited_ms: *elapsed_ms,
                        engines: helpers.len() + 1,
                        reserves: *reserves,
                        manifest_age_ms: *manifest_age_ms,
                    };
                    sends.insert((&line.host, request), send);
                }
                DecisionEvent::Ended {
                    request,
                    outcome,
                    first_event_ms,
                    ..
                } => {
                    summary.count(line.wall_ms, outcome);
                    let send = sends.swap_remove(&(line.host.as_str(), request.as_str()));
                    if let (Some(send), Some(first_event_ms)) = (send, first_event_ms) {
                        summary.take_in(&send, *first_event_ms);
                    }
                }
                DecisionEvent::Refused {
                    reason,
                    prompt_tokens,
                    elapsed_ms,
                    ..
                } if *prompt_tokens > 0 => {
                    let refused = &mut summary.row(*prompt_tokens).refused_after_ms;
                    let waited_ms = refused.entry(reason.to_string()).or_default();
                    waited_ms.push(signed(*elapsed_ms));
                }
                _ => {}
            }
        }
        summary
    }

    /// The row of prompts of this length.
    fn row(&mut self, prompt_tokens: u64) -> &mut Row {
        let place = LENGTHS.iter().position(|max| prompt_tokens < *max);
        &mut self.rows[place.unwrap_or(LENGTHS.len())]
    }

    fn count(&mut self, wall_ms: u64, outcome: &str) {
        let since_ms = wall_ms.saturating_sub(self.begins_ms);
        let stretch = since_ms / STRETCH_MS * STRETCH_MS;
        let outcomes = self.stretches.entry(stretch).or_default();
        *outcomes.entry(outcome.to_owned()).or_default() += 1;
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    fn take_in(&mut self, send: &Send, first_event_ms: u64) {
        self.manifest_ages_ms.push(signed(send.manifest_age_ms));
        // Plain services have no prompts.
        if send.prompt_tokens == 0 {
            return;
        }
        let row = self.row(send.prompt_tokens);
        let since_send_ms = signed(first_event_ms) - signed(send.waited_ms);
        row.waited_ms.push(signed(send.waited_ms));
        row.forecast_ms.push(signed(send.forecast_ms));
        row.first_event_ms.push(signed(first_event_ms));
        row.error_ms.push(since_send_ms - signed(send.forecast_ms));
        row.engines += send.engines;
        row.reserves += send.reserves;
    }

    /// The names of the most frequent outcomes.
    fn frequent(&self) -> Vec<&String> {
        let mut outcomes: Vec<(&String, usize)> =
            self.outcomes.iter().map(|(k, v)| (k, *v)).collect();
        outcomes.sort_by_key(|(name, count)| (Reverse(*count), *name));
        outcomes
            .into_iter()
            .take(OUTCOMES_MAX)
            .map(|(name, _)| name)
            .collect()
    }

    fn write_lengths(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "By length of the prompt; ms, median and 90th percentile:"
        )?;
        writeln!(
            f,
            "{:>12} {:>7} {:>15} {:>15} {:>15} {:>15} {:>8} {:>9}",
            "tokens",
            "sends",
            "waited",
            "forecast",
            "first event",
            "late by",
            "engines",
            "reserves"
        )?;
        for (place, row) in self.rows.iter().enumerate() {
            let name = row_name(place);
            let sends = row.waited_ms.len();
            writeln!(
                f,
                "{name:>12} {sends:>7} {:>15} {:>15} {:>15} {:>15} {:>8.1} {:>9}",
                spread(&row.waited_ms),
                spread(&row.forecast_ms),
                spread(&row.first_event_ms),
                spread(&row.error_ms),
                row.engines as f64 / sends.max(1) as f64,
                row.reserves,
            )?;
        }
        let ages = &self.manifest_ages_ms;
        writeln!(
            f,
            "\nAge of the manifest at a send, ms: {} {} {} (10th, 50th, 99th percentile)",
            quantile(ages, 0.1),
            quantile(ages, 0.5),
            quantile(ages, 0.99),
        )
    }

    fn write_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nTurned away by length of the prompt:")?;
        writeln!(
            f,
            "{:>12} {:>18} {:>7} {:>13} {:>15}",
            "tokens", "reason", "count", "under 100 ms", "waited"
        )?;
        for (place, row) in self.rows.iter().enumerate() {
            for (reason, waited_ms) in &row.refused_after_ms {
                let at_once = waited_ms.iter().filter(|ms| **ms < AT_ONCE_MS);
                writeln!(
                    f,
                    "{:>12} {reason:>18} {:>7} {:>13} {:>15}",
                    row_name(place),
                    waited_ms.len(),
                    at_once.count(),
                    spread(waited_ms),
                )?;
            }
        }
        Ok(())
    }

    fn write_stretches(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.frequent();
        write!(f, "\nEnds in stretches of two seconds:\n{:>8}", "second")?;
        for name in &names {
            write!(f, " {name:>16}")?;
        }
        writeln!(f, " {:>16}", "others")?;
        for (at_ms, outcomes) in &self.stretches {
            write!(f, "{:>8}", at_ms / 1_000)?;
            let count = |name: &&String| outcomes.get(*name).copied().unwrap_or(0);
            for name in &names {
                write!(f, " {:>16}", count(name))?;
            }
            let named: usize = names.iter().map(count).sum();
            writeln!(f, " {:>16}", outcomes.values().sum::<usize>() - named)?;
        }
        Ok(())
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_lengths(f)?;
        self.write_refusals(f)?;
        self.write_stretches(f)
    }
}

fn row_name(place: usize) -> String {
    let max = LENGTHS.get(place);
    max.map_or_else(|| "beyond".to_owned(), |max| format!("under {max}"))
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

/// The median and the 90th percentile.
fn spread(values: &[i64]) -> String {
    format!("{} {}", quantile(values, 0.5), quantile(values, 0.9))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn quantile(values: &[i64], part: f64) -> i64 {
    let mut values = values.to_vec();
    values.sort_unstable();
    let place = (values.len().saturating_sub(1) as f64 * part).round() as usize;
    values.get(place).copied().unwrap_or(0)
}
