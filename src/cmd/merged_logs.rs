//! The decision logs of several hosts merged into one.

use std::fmt;

use serde::Deserialize;

use crate::cmd::log_summary::LogSummary;
use crate::cmd::outcome_descriptions::describe_outcome;
use crate::cmd::request_timeline::RequestTimeline;
use crate::gateway::DecisionEvent;

/// One line of a decision log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct LogLine {
    /// The time by the clock of the host, in ms since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// The name of the host that wrote the line.
    pub(crate) host: String,
    #[serde(flatten)]
    pub(crate) event: DecisionEvent,
}

/// The lines of the decision logs of several hosts.
#[derive(Debug, Default)]
pub(crate) struct MergedLogs {
    pub(crate) lines: Vec<LogLine>,
}

impl MergedLogs {
    /// Adds the lines of a log. Text before the JSON on a line is ignored, and lines that are not
    /// decision events, such as messages of the process itself, are skipped. Call [`Self::sort`]
    /// after the last log.
    pub(crate) fn add_log(&mut self, text: &str) {
        let jsons = text
            .lines()
            .filter_map(|line| Some(&line[line.find('{')?..]));
        self.lines
            .extend(jsons.filter_map(|json| serde_json::from_str::<LogLine>(json).ok()));
    }

    /// Sorts the lines by the clocks of the hosts, which may differ slightly. The sort is stable,
    /// so that lines of one host with equal times keep their order.
    pub(crate) fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.wall_ms);
    }

    /// The events of one request. The lines must be sorted.
    pub(crate) fn timeline(&self, request: &str) -> RequestTimeline<'_> {
        RequestTimeline::new(request, &self.lines)
    }

    /// Statistics over all requests. The lines must be sorted.
    pub(crate) fn summary(&self) -> LogSummary {
        LogSummary::from_lines(&self.lines)
    }

    /// The requests that were not served, in the order of the lines.
    pub(crate) fn failed_requests(&self) -> FailedRequests<'_> {
        FailedRequests(&self.lines)
    }
}

/// Displays one line for each request that was not served.
pub(crate) struct FailedRequests<'a>(&'a [LogLine]);

impl fmt::Display for FailedRequests<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in self.0 {
            let DecisionEvent::Ended {
                request,
                outcome,
                status,
                elapsed_ms,
                ..
            } = &line.event
            else {
                continue;
            };
            if outcome == "served" {
                continue;
            }
            let description = describe_outcome(outcome);
            let host = &line.host;
            writeln!(
                f,
                "{request}  {status} {outcome} after {elapsed_ms} ms on {host}: {description}"
            )?;
        }
        Ok(())
    }
}
