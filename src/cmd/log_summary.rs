//! Statistics over the requests in the decision logs: waits, forecasts, refusals and outcomes.

use std::cmp::Reverse;
use std::fmt;

use indexmap::IndexMap;

use crate::cmd::host_outcomes::HostOutcomes;
use crate::cmd::merged_logs::LogLine;
use crate::gateway::DecisionEvent;

/// The exclusive upper bounds of the prompt lengths of the rows, in tokens. One more row has the
/// longer prompts.
const PROMPT_TOKENS_BOUNDS: [u64; 7] = [10_000, 25_000, 50_000, 100_000, 250_000, 500_000, 750_000];
/// The length of the intervals in which outcomes are counted, in ms.
const INTERVAL_MS: u64 = 2_000;
/// A request that is refused in less than this time counts as refused without a wait, in ms.
const IMMEDIATE_REFUSAL_MS: i64 = 100;
/// The number of the most frequent outcomes that get a column each. All others share one column.
const OUTCOME_COLUMNS_MAX: usize = 5;

/// The last send of a request.
struct LastSend {
    prompt_tokens: u64,
    /// The forecast time from the send to the first event, in ms.
    forecast_ms: u64,
    /// The time from the arrival of the request to the send, in ms.
    waited_ms: u64,
    /// The number of engines that the prompt was sent to, including the helpers.
    engines: usize,
    /// The number of engines with memory reserved for the prompt.
    reserves: usize,
    manifest_age_ms: u64,
}

/// Values of the requests whose prompts are in one range of lengths. Except for refusals, only
/// requests that got a first event are included.
#[derive(Default)]
struct PromptLengthRow {
    /// The times from the arrival of a request to its last send.
    waited_ms: Vec<i64>,
    /// The forecast times from the last send to the first event.
    forecast_ms: Vec<i64>,
    /// The times from the arrival of a request to its first event.
    first_event_ms: Vec<i64>,
    /// How much later than forecast the first events came; negative for earlier ones.
    delay_ms: Vec<i64>,
    /// The number of engines that a prompt was sent to, summed over the prompts.
    engines: usize,
    /// The number of engines with memory reserved for a prompt, summed over the prompts.
    reserves: usize,
    /// The times from the arrival of a request to its refusal, by the reason of the refusal.
    refused_after_ms: IndexMap<String, Vec<i64>>,
}

/// The refusals of the requests of one customer for one reason.
#[derive(Default)]
struct CustomerRefusals {
    /// The times from the arrival of a request to its refusal.
    waited_ms: Vec<i64>,
    /// The ratios of the customer's standing to its share, where the log has them.
    share_ratios: Vec<f64>,
}

/// Statistics over the requests of several hosts. Displayed as tables: first events and refusals by
/// prompt length, refusals by customer if the log names customers, outcomes by time, and hosts that
/// served their callers worse than the others.
pub(crate) struct LogSummary {
    /// One row for each range of prompt lengths, the shortest first.
    rows: Vec<PromptLengthRow>,
    /// The refusals by the name of the customer and the reason.
    refused_by_customer: IndexMap<(String, String), CustomerRefusals>,
    /// The ages of the manifest at the last sends of requests that got a first event.
    manifest_ages_ms: Vec<i64>,
    /// The number of requests by outcome, for each interval by its start in ms since `start_ms`.
    intervals: IndexMap<u64, IndexMap<String, usize>>,
    /// The number of requests by outcome, over the whole time.
    outcomes: IndexMap<String, usize>,
    hosts: HostOutcomes,
    /// The time of the first line, in ms since the Unix epoch.
    start_ms: u64,
}

impl LogSummary {
    /// Computes the statistics. The lines must be sorted by time.
    pub(crate) fn from_lines(lines: &[LogLine]) -> Self {
        let mut summary = Self {
            rows: PROMPT_TOKENS_BOUNDS
                .iter()
                .map(|_| PromptLengthRow::default())
                .collect(),
            refused_by_customer: IndexMap::new(),
            manifest_ages_ms: Vec::new(),
            intervals: IndexMap::new(),
            outcomes: IndexMap::new(),
            hosts: HostOutcomes::default(),
            start_ms: lines.first().map_or(0, |line| line.wall_ms),
        };
        summary.rows.push(PromptLengthRow::default());
        let mut sends: IndexMap<(&str, &str), LastSend> = IndexMap::new();
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
                    let send = LastSend {
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
                    let interval_ms = summary.interval_ms(line.wall_ms);
                    summary.count_outcome(interval_ms, outcome);
                    summary.hosts.count_ended(interval_ms, &line.host, outcome);
                    let send = sends.swap_remove(&(line.host.as_str(), request.as_str()));
                    if let (Some(send), Some(first_event_ms)) = (send, first_event_ms) {
                        summary.record_first_event(&send, *first_event_ms);
                    }
                }
                DecisionEvent::Tunneled { .. } => {
                    let interval_ms = summary.interval_ms(line.wall_ms);
                    summary.hosts.count_tunneled(interval_ms, &line.host);
                }
                DecisionEvent::Refused {
                    reason,
                    prompt_tokens,
                    elapsed_ms,
                    customer,
                    share_ratio,
                    ..
                } => {
                    let waited_ms = to_signed_ms(*elapsed_ms);
                    if let Some(customer) = customer {
                        summary.count_refusal(customer, reason, waited_ms, *share_ratio);
                    }
                    // Requests to plain services have no prompt.
                    if *prompt_tokens > 0 {
                        let row = summary.row_mut(*prompt_tokens);
                        let refused_after_ms = &mut row.refused_after_ms;
                        let waits_ms = refused_after_ms.entry(reason.to_string()).or_default();
                        waits_ms.push(waited_ms);
                    }
                }
                _ => {}
            }
        }
        summary
    }

    /// The row of prompts of this length.
    fn row_mut(&mut self, prompt_tokens: u64) -> &mut PromptLengthRow {
        let index = PROMPT_TOKENS_BOUNDS
            .iter()
            .position(|max| prompt_tokens < *max);
        &mut self.rows[index.unwrap_or(PROMPT_TOKENS_BOUNDS.len())]
    }

    /// Counts the refusal of a request of a customer.
    fn count_refusal(
        &mut self,
        customer: &str,
        reason: &str,
        waited_ms: i64,
        share_ratio: Option<f64>,
    ) {
        let key = (customer.to_owned(), reason.to_owned());
        let refusals = self.refused_by_customer.entry(key).or_default();
        refusals.waited_ms.push(waited_ms);
        refusals.share_ratios.extend(share_ratio);
    }

    /// The start of the interval of a line, in ms since `start_ms`.
    fn interval_ms(&self, wall_ms: u64) -> u64 {
        let elapsed_ms = wall_ms.saturating_sub(self.start_ms);
        elapsed_ms / INTERVAL_MS * INTERVAL_MS
    }

    /// Counts the outcome of a request that ended in this interval.
    fn count_outcome(&mut self, interval_ms: u64, outcome: &str) {
        let outcomes = self.intervals.entry(interval_ms).or_default();
        *outcomes.entry(outcome.to_owned()).or_default() += 1;
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Records a request that got a first event this long after its arrival, in ms, and the age of
    /// the manifest at its last send. For a plain service, whose requests have no prompt, only the
    /// age is recorded.
    fn record_first_event(&mut self, send: &LastSend, first_event_ms: u64) {
        self.manifest_ages_ms
            .push(to_signed_ms(send.manifest_age_ms));
        // Requests to plain services have no prompt.
        if send.prompt_tokens == 0 {
            return;
        }
        let row = self.row_mut(send.prompt_tokens);
        let since_send_ms = to_signed_ms(first_event_ms) - to_signed_ms(send.waited_ms);
        row.waited_ms.push(to_signed_ms(send.waited_ms));
        row.forecast_ms.push(to_signed_ms(send.forecast_ms));
        row.first_event_ms.push(to_signed_ms(first_event_ms));
        row.delay_ms
            .push(since_send_ms - to_signed_ms(send.forecast_ms));
        row.engines += send.engines;
        row.reserves += send.reserves;
    }

    /// The names of the outcomes that get a column, the most frequent first.
    fn frequent_outcomes(&self) -> Vec<&String> {
        let mut outcomes: Vec<(&String, usize)> =
            self.outcomes.iter().map(|(k, v)| (k, *v)).collect();
        outcomes.sort_by_key(|(name, count)| (Reverse(*count), *name));
        outcomes
            .into_iter()
            .take(OUTCOME_COLUMNS_MAX)
            .map(|(name, _)| name)
            .collect()
    }

    /// Writes the table of first events by prompt length, and the ages of the manifest.
    fn write_first_events(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "By prompt length; median and 90th percentile in ms:")?;
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
        for (index, row) in self.rows.iter().enumerate() {
            let name = row_name(index);
            let sends = row.waited_ms.len();
            writeln!(
                f,
                "{name:>12} {sends:>7} {:>15} {:>15} {:>15} {:>15} {:>8.1} {:>9}",
                median_and_p90(&row.waited_ms),
                median_and_p90(&row.forecast_ms),
                median_and_p90(&row.first_event_ms),
                median_and_p90(&row.delay_ms),
                row.engines as f64 / sends.max(1) as f64,
                row.reserves,
            )?;
        }
        let ages = &self.manifest_ages_ms;
        writeln!(
            f,
            "\nAge of the manifest at the last send, in ms: {} {} {} (10th, 50th, 99th percentile)",
            quantile(ages, 0.1),
            quantile(ages, 0.5),
            quantile(ages, 0.99),
        )
    }

    /// Writes the table of refusals: always the heading, then one line for each prompt length and
    /// reason with the count, how many were refused at once, and the time that the requests had
    /// waited.
    fn write_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nRefused requests by prompt length:")?;
        writeln!(
            f,
            "{:>12} {:>18} {:>7} {:>13} {:>15}",
            "tokens", "reason", "count", "under 100 ms", "waited"
        )?;
        for (index, row) in self.rows.iter().enumerate() {
            for (reason, waited_ms) in &row.refused_after_ms {
                let immediate = waited_ms.iter().filter(|ms| **ms < IMMEDIATE_REFUSAL_MS);
                writeln!(
                    f,
                    "{:>12} {reason:>18} {:>7} {:>13} {:>15}",
                    row_name(index),
                    waited_ms.len(),
                    immediate.count(),
                    median_and_p90(waited_ms),
                )?;
            }
        }
        Ok(())
    }

    /// Writes the table of refusals by customer, the most frequent first: the count, how many were
    /// refused at once, the time that the requests had waited, and the median ratio of the
    /// customer's standing to its share. Nothing if the log names no customers.
    fn write_refusals_by_customer(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.refused_by_customer.is_empty() {
            return Ok(());
        }
        writeln!(f, "\nRefused requests by customer:")?;
        writeln!(
            f,
            "{:>24} {:>18} {:>7} {:>13} {:>15} {:>12}",
            "customer", "reason", "count", "under 100 ms", "waited", "of its share"
        )?;
        let mut rows: Vec<_> = self.refused_by_customer.iter().collect();
        rows.sort_by_key(|(key, refusals)| (Reverse(refusals.waited_ms.len()), *key));
        for ((customer, reason), refusals) in rows {
            let waited_ms = &refusals.waited_ms;
            let immediate = waited_ms.iter().filter(|ms| **ms < IMMEDIATE_REFUSAL_MS);
            writeln!(
                f,
                "{customer:>24} {reason:>18} {:>7} {:>13} {:>15} {:>12}",
                waited_ms.len(),
                immediate.count(),
                median_and_p90(waited_ms),
                median_ratio(&refusals.share_ratios),
            )?;
        }
        Ok(())
    }

    /// Writes the table of outcomes by interval of time.
    fn write_outcomes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.frequent_outcomes();
        write!(f, "\nOutcomes by interval of two seconds:\n{:>8}", "second")?;
        for name in &names {
            write!(f, " {name:>16}")?;
        }
        writeln!(f, " {:>16}", "others")?;
        for (interval_ms, outcomes) in &self.intervals {
            write!(f, "{:>8}", interval_ms / 1_000)?;
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

impl fmt::Display for LogSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_first_events(f)?;
        self.write_refusals(f)?;
        self.write_refusals_by_customer(f)?;
        self.write_outcomes(f)?;
        self.hosts.fmt(f)
    }
}

/// Names the row of prompt lengths at an index by its upper bound only, such as `under 4096`. The
/// last row is `beyond`.
fn row_name(index: usize) -> String {
    let max = PROMPT_TOKENS_BOUNDS.get(index);
    max.map_or_else(|| "beyond".to_owned(), |max| format!("under {max}"))
}

/// Converts a time to a signed number; `i64::MAX` if it is too long.
fn to_signed_ms(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

/// The median and the 90th percentile as text, separated by a space; `0 0` if there are no values.
fn median_and_p90(values: &[i64]) -> String {
    format!("{} {}", quantile(values, 0.5), quantile(values, 0.9))
}

/// The median as text with one decimal place; "-" if there are no values.
fn median_ratio(values: &[f64]) -> String {
    let mut values = values.to_vec();
    values.sort_unstable_by(f64::total_cmp);
    let median = values.get(values.len().saturating_sub(1) / 2);
    median.map_or_else(|| "-".to_owned(), |ratio| format!("{ratio:.1}"))
}

/// The quantile at a fraction from 0 to 1, by the nearest rank; 0 if there are no values.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn quantile(values: &[i64], fraction: f64) -> i64 {
    let mut values = values.to_vec();
    values.sort_unstable();
    let index = (values.len().saturating_sub(1) as f64 * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0)
}
