//! The decision logs of several hosts as one.

use std::fmt;

use serde::Deserialize;

use crate::cmd::log_causes::cause;
use crate::cmd::log_story::Story;
use crate::cmd::log_summary::Summary;
use crate::gateway::DecisionEvent;

/// One line of a log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Line {
    pub(crate) wall_ms: u64,
    pub(crate) host: String,
    #[serde(flatten)]
    pub(crate) event: DecisionEvent,
}

/// Lines of all hosts in order of time.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    pub(crate) lines: Vec<Line>,
}

impl Logs {
    /// Takes in a log. Lines that are no events, such as those of the process itself, are passed
    /// over.
    pub(crate) fn take_in(&mut self, text: &str) {
        let jsons = text
            .lines()
            .filter_map(|line| Some(&line[line.find('{')?..]));
        self.lines
            .extend(jsons.filter_map(|json| serde_json::from_str::<Line>(json).ok()));
    }

    /// Orders the lines by hosts' clocks, which may differ by a little; the lines of one host keep
    /// their order.
    pub(crate) fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.wall_ms);
    }

    /// All that is known of one request.
    pub(crate) fn story(&self, request: &str) -> Story<'_> {
        Story::new(request, &self.lines)
    }

    /// Where answers were lost.
    pub(crate) fn summary(&self) -> Summary {
        Summary::of(&self.lines)
    }

    /// The requests that did not end well.
    pub(crate) fn failed(&self) -> Failed<'_> {
        Failed(&self.lines)
    }
}

/// A line for each request that did not end well.
pub(crate) struct Failed<'a>(&'a [Line]);

impl fmt::Display for Failed<'_> {
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
            let cause = cause(outcome);
            let host = &line.host;
            writeln!(
                f,
                "{request}  {status} {outcome} after {elapsed_ms} ms on {host}: {cause}"
            )?;
        }
        Ok(())
    }
}
