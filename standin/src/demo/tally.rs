//! Comparison of what callers were told with what ran.

use std::fmt::Write;
use std::time::Duration;

use banyanarch::decide::LengthClass;
use banyanarch::units::ContentHash;
use indexmap::IndexMap;

use crate::caller::CallOutcome;
use crate::caller::RequestKind;
use crate::caller::format_ms;
use crate::caller::percentile_ms;
use crate::demo::resend::ResolvedRequest;
use crate::engine::RunRecord;

/// Counts of outcomes by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    rows: Vec<Row>,
    total: Row,
    /// The number of requests whose caller was told no outcome or a wrong one.
    pub lost: u64,
    /// The number of requests that must not run twice and did.
    pub doubled: u64,
    /// Reasons given to callers that got no answer, with counts.
    reasons: IndexMap<String, u64>,
    findings: Vec<String>,
}

/// Counts and times of one kind of request.
#[derive(Clone, Debug, Default)]
struct Row {
    name: String,
    sent: u64,
    completed: u64,
    not_run: u64,
    may_have_run: u64,
    resent: u64,
    first_tokens: Vec<Duration>,
    totals: Vec<Duration>,
}

impl Tally {
    /// Compares what callers were told with the records of engines and services.
    pub(crate) fn new(resolved: &[ResolvedRequest], runs: &[RunRecord]) -> Self {
        let mut run_starts_ms: IndexMap<ContentHash, Vec<u64>> = IndexMap::new();
        for run in runs {
            run_starts_ms
                .entry(run.request_hash)
                .or_default()
                .push(run.taken_ms);
        }
        let mut tally = Self {
            total: Row::named("all"),
            ..Self::default()
        };
        let names = LengthClass::ALL.iter().map(|class| class.name());
        for name in names.chain(["service"]) {
            let mut row = Row::named(name);
            for request in resolved
                .iter()
                .filter(|request| row_name_of(request) == name)
            {
                row.add(request);
                tally.total.add(request);
            }
            tally.rows.push(row);
        }
        for request in resolved {
            tally.count_reason(&request.outcome);
            let run_starts_ms = run_starts_ms
                .get(&request.body_hash)
                .map_or(&[][..], Vec::as_slice);
            tally.check(request, run_starts_ms);
        }
        tally
    }

    /// Returns whether no request was lost, and none ran twice that must not.
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
        for row in self.rows.iter().chain([&self.total]) {
            let _ = writeln!(
                out,
                "{:<8}{:>6}{:>11}{:>9}{:>14}{:>12}{:>7} ms{:>7} ms{:>8} ms",
                row.name,
                row.sent,
                row.completed,
                row.not_run,
                row.may_have_run,
                row.resent,
                format_ms(percentile_ms(&row.first_tokens, 50.0)),
                format_ms(percentile_ms(&row.first_tokens, 95.0)),
                format_ms(percentile_ms(&row.totals, 95.0)),
            );
        }
        for (reason, count) in &self.reasons {
            let _ = writeln!(out, "{count:>6} {reason}");
        }
        for fault in &self.findings {
            let _ = writeln!(out, "{fault}");
        }
        let total = &self.total;
        let _ = writeln!(
            out,
            "sent {}, completed {}, not run {}, may have run {}, lost {}, doubled {}",
            total.sent, total.completed, total.not_run, total.may_have_run, self.lost, self.doubled
        );
        out
    }

    fn count_reason(&mut self, outcome: &CallOutcome) {
        let reason = match outcome {
            CallOutcome::NotRun { reason, .. } => format!("not run: {reason}"),
            CallOutcome::MayHaveRun(reason) => format!("may have run: {reason}"),
            _ => return,
        };
        *self.reasons.entry(reason).or_insert(0) += 1;
    }

    /// Checks one request against the start times of its runs, and records a loss or a double run.
    fn check(&mut self, request: &ResolvedRequest, run_starts_ms: &[u64]) {
        let number = request.request.number;
        let run_count = run_starts_ms.len();
        let ran_during_send = |(begin_ms, end_ms): &(u64, u64)| {
            run_starts_ms
                .iter()
                .any(|start_ms| (*begin_ms..=*end_ms).contains(start_ms))
        };
        let loss = match &request.outcome {
            CallOutcome::Cut(reason) => Some(format!("no outcome: {reason}")),
            CallOutcome::Wrong(reason) => Some(format!("not its own answer: {reason}")),
            CallOutcome::Completed if run_count == 0 => {
                Some("completed, but nothing ran it".to_owned())
            }
            CallOutcome::NotRun { .. } if run_count > 0 => {
                Some("told `not run`, but it ran".to_owned())
            }
            _ if request.not_run_sends_ms.iter().any(ran_during_send) => {
                Some("one sending was told `not run`, but it ran".to_owned())
            }
            _ => None,
        };
        if let Some(reason) = loss {
            self.lost += 1;
            self.findings
                .push(format!("request {number} lost: {reason}"));
        }
        if !request.request.repeatable && run_count > 1 {
            self.doubled += 1;
            self.findings
                .push(format!("request {number} ran {run_count} times"));
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

    fn add(&mut self, request: &ResolvedRequest) {
        self.sent += 1;
        self.resent += u64::from(request.send_count > 1);
        match request.outcome {
            CallOutcome::Completed => {
                self.completed += 1;
                self.first_tokens.extend(request.first_token);
                self.totals.push(request.total);
            }
            CallOutcome::NotRun { .. } => self.not_run += 1,
            CallOutcome::MayHaveRun(_) => self.may_have_run += 1,
            CallOutcome::Wrong(_) | CallOutcome::Cut(_) => (),
        }
    }
}

fn row_name_of(request: &ResolvedRequest) -> &'static str {
    match request.request.kind {
        RequestKind::Service => "service",
        _ => request.request.class().name(),
    }
}
