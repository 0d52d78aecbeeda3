//! The steps of one request, merged from several hosts.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::cmd::CmdError;
use crate::units::RequestId;

/// The explanation page of a host. Only the fields that are shown are read, so that pages of hosts
/// of the previous or next version can be read too.
#[derive(Deserialize)]
struct ExplanationPage {
    /// The name of the host; none if the page does not contain it.
    #[serde(default)]
    host: Option<String>,
    steps: Vec<PageStep>,
    /// The number of steps that the host removed to keep within its limit per request.
    #[serde(default)]
    left_out: u64,
}

/// A step as the explanation page has it: the time at the host, what happened, the upstream or host
/// that it concerns, and the reason. The last two may be empty.
#[derive(Deserialize)]
struct PageStep {
    /// The time by the clock of the host, in ms since the Unix epoch.
    wall_ms: u64,
    /// What happened, such as `dispatched`.
    what: String,
    /// The upstream or host that the step concerns; empty if there is none.
    #[serde(default)]
    place: String,
    /// The reason; empty if there is none.
    #[serde(default)]
    why: String,
}

/// The steps of one request from all queried hosts. Displayed as text with the time of each step
/// since the first one, which requires that the steps are sorted.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct MergedExplanation {
    request_id: RequestId,
    pub(crate) steps: Vec<MergedStep>,
    /// The number of steps that the hosts removed to keep within their limits per request.
    left_out: u64,
    /// The hosts whose steps are missing because they were not reached or answered with an error.
    pub(crate) not_reached: Vec<SocketAddr>,
}

/// A step with the host that recorded it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct MergedStep {
    host: String,
    wall_ms: u64,
    what: String,
    place: String,
    why: String,
}

impl MergedExplanation {
    /// An explanation without steps.
    pub(crate) fn new(request: RequestId) -> Self {
        Self {
            request_id: request,
            steps: Vec::new(),
            left_out: 0,
            not_reached: Vec::new(),
        }
    }

    /// Adds the steps of the page that was read from `addr`, and its number of left-out steps.
    /// `addr` stands for the host if the page does not name it. Call [`Self::sort`] after the last
    /// page.
    pub(crate) fn add_page(
        &mut self,
        addr: SocketAddr,
        page: serde_json::Value,
    ) -> Result<(), CmdError> {
        let page: ExplanationPage = serde_json::from_value(page)?;
        let host = page.host.unwrap_or_else(|| addr.to_string());
        self.left_out += page.left_out;
        self.steps
            .extend(page.steps.into_iter().map(|step| MergedStep {
                host: host.clone(),
                wall_ms: step.wall_ms,
                what: step.what,
                place: step.place,
                why: step.why,
            }));
        Ok(())
    }

    /// Sorts the steps by the clocks of the hosts, which may differ slightly. The sort is stable,
    /// so that steps of one host with equal times keep their order.
    pub(crate) fn sort(&mut self) {
        self.steps.sort_by_key(|step| step.wall_ms);
    }
}

impl fmt::Display for MergedExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.steps.first() else {
            return writeln!(
                f,
                "{}: not found on any host that answered",
                self.request_id
            );
        };
        writeln!(f, "{}:", self.request_id)?;
        let host_width = self
            .steps
            .iter()
            .map(|step| step.host.len())
            .max()
            .unwrap_or(0);
        for step in &self.steps {
            let elapsed_ms = step.wall_ms - first.wall_ms;
            write!(
                f,
                "{elapsed_ms:>8} ms  {:host_width$}  {}",
                step.host, step.what
            )?;
            for detail in [&step.place, &step.why] {
                if !detail.is_empty() {
                    write!(f, "  {detail}")?;
                }
            }
            writeln!(f)?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} steps in the middle were left out", self.left_out)?;
        }
        Ok(())
    }
}
