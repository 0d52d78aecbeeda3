//! Comparison of what callers were told with what ran.

use std::fmt::Write;
use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::units::ContentHash;
use indexmap::IndexMap;

use crate::caller::Target;
use crate::caller::Verdict;
use crate::caller::percentile_ms;
use crate::caller::show_ms;
use crate::demo::carry::Carried;
use crate::engine::RunRecord;

/// Counts of outcomes by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    rows: Vec<Row>,
    in_all: Row,
    /// The number of requests whose caller was told no outcome or a wrong one.
    pub lost: u64,
    /// The number of requests that must not run twice and did.
    pub doubled: u64,
    /// Reasons given to callers that got no answer, with counts.
    reasons: IndexMap<String, u64>,
    faults: Vec<String>,
}

#[derive(Clone, Debug, Default)]
struct Row {
    name: String,
    sent: u64,
    completed: u64,
    not_run: u64,
    may_have_run: u64,
    sent_again: u64,
    first_tokens: Vec<Duration>,
    totals: Vec<Duration>,
}

impl Tally {
    /// Compares what callers were told with the records of engines and services.
    pub(crate) fn new(carried: &[Carried], runs: &[RunRecord]) -> Self {
        let mut ran_ms: IndexMap<ContentHash, Vec<u64>> = IndexMap::new();
        for run in runs {
            ran_ms
                .entry(run.request_hash)
                .or_default()
                .push(run.taken_ms);
        }
        let mut tally = Self {
            in_all: Row::named("all"),
            ..Self::default()
        };
        let names = LengthClass::ALL.iter().map(|class| class.name());
        for name in names.chain(["service"]) {
            let mut row = Row::named(name);
            for one in carried.iter().filter(|one| kind_of(one) == name) {
                row.add(one);
                tally.in_all.add(one);
            }
            tally.rows.push(row);
        }
        for one in carried {
            tally.note_reason(&one.verdict);
            let ran_ms = ran_ms.get(&one.body_hash).map_or(&[][..], Vec::as_slice);
            tally.check(one, ran_ms);
        }
        tally
    }

    /// Returns whether no request was lost or ran twice against its caller's wish.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0
    }

    /// Returns the table, with the totals in the last line.
    pub fn to_text(&self) -> String {
        let mut out = format!(
            "{:<8}{:>6}{:>11}{:>9}{:>14}{:>12}{:>10}{:>10}{:>11}\n",
            "class",
            "sent",
            "completed",
            "not run",
            "may have run",
            "sent again",
            "ttft p50",
            "ttft p95",
            "total p95"
        );
        for row in self.rows.iter().chain([&self.in_all]) {
            let _ = writeln!(
                out,
                "{:<8}{:>6}{:>11}{:>9}{:>14}{:>12}{:>7} ms{:>7} ms{:>8} ms",
                row.name,
                row.sent,
                row.completed,
                row.not_run,
                row.may_have_run,
                row.sent_again,
                show_ms(percentile_ms(&row.first_tokens, 50.0)),
                show_ms(percentile_ms(&row.first_tokens, 95.0)),
                show_ms(percentile_ms(&row.totals, 95.0)),
            );
        }
        for (reason, count) in &self.reasons {
            let _ = writeln!(out, "{count:>6} {reason}");
        }
        for fault in &self.faults {
            let _ = writeln!(out, "{fault}");
        }
        let sum = &self.in_all;
        let _ = writeln!(
            out,
            "sent {}, completed {}, not run {}, may have run {}, lost {}, doubled {}",
            sum.sent, sum.completed, sum.not_run, sum.may_have_run, self.lost, self.doubled
        );
        out
    }

    fn note_reason(&mut self, verdict: &Verdict) {
        let reason = match verdict {
            Verdict::NotRun { reason, .. } => format!("not run: {reason}"),
            Verdict::MayHaveRun(reason) => format!("may have run: {reason}"),
            _ => return,
        };
        *self.reasons.entry(reason).or_insert(0) += 1;
    }

    fn check(&mut self, one: &Carried, ran_ms: &[u64]) {
        let number = one.ask.number;
        let ran = ran_ms.len();
        let is_lie = |(begin_ms, end_ms): &(u64, u64)| {
            ran_ms
                .iter()
                .any(|at_ms| (*begin_ms..=*end_ms).contains(at_ms))
        };
        let lost = match &one.verdict {
            Verdict::Cut(why) => Some(format!("no outcome: {why}")),
            Verdict::Wrong(why) => Some(format!("not its own answer: {why}")),
            Verdict::Completed if ran == 0 => Some("completed, but nothing ran it".to_owned()),
            Verdict::NotRun { .. } if ran > 0 => Some("told `not run`, but it ran".to_owned()),
            _ if one.told_not_run_ms.iter().any(is_lie) => {
                Some("one sending was told `not run`, but it ran".to_owned())
            }
            _ => None,
        };
        if let Some(why) = lost {
            self.lost += 1;
            self.faults.push(format!("request {number} lost: {why}"));
        }
        if !one.ask.repeatable && ran > 1 {
            self.doubled += 1;
            self.faults
                .push(format!("request {number} ran {ran} times"));
        }
    }
}

impl Row {
    fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    fn add(&mut self, one: &Carried) {
        self.sent += 1;
        self.sent_again += u64::from(one.sendings > 1);
        match one.verdict {
            Verdict::Completed => {
                self.completed += 1;
                self.first_tokens.extend(one.first_token);
                self.totals.push(one.total);
            }
            Verdict::NotRun { .. } => self.not_run += 1,
            Verdict::MayHaveRun(_) => self.may_have_run += 1,
            Verdict::Wrong(_) | Verdict::Cut(_) => (),
        }
    }
}

fn kind_of(one: &Carried) -> &'static str {
    match one.ask.target {
        Target::Service => "service",
        _ => one.ask.class().name(),
    }
}
