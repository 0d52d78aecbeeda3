//! The events of one request, from the decision logs.

use std::fmt;

use crate::cmd::merged_logs::LogLine;
use crate::cmd::outcome_descriptions::describe_outcome;
use crate::gateway::DecisionEvent;
use crate::gateway::EngineCountsRecord;
use crate::gateway::ExcludedRecord;
use crate::units::Priority;

/// The events of one request in order of time, after the state of the host at the first of them.
/// Displayed as text, with times in ms before or after the first event.
pub(crate) struct RequestTimeline<'a> {
    request: String,
    lines: Vec<&'a LogLine>,
    /// The lines that describe the state of the host at the first event: the manifest in force and
    /// the losses of the dependencies that were unreachable.
    host_state: Vec<&'a LogLine>,
}

impl<'a> RequestTimeline<'a> {
    /// Collects the events of a request from all lines, which must be sorted by time, and the
    /// state, at the first event, of the host that logged it. The timeline of an unknown request is
    /// empty.
    pub(crate) fn new(request: &str, all: &'a [LogLine]) -> Self {
        let is_about = |line: &&LogLine| line.event.request() == Some(request);
        let lines: Vec<&LogLine> = all.iter().filter(is_about).collect();
        let host_state = lines
            .first()
            .map(|first| host_state_at(&first.host, first.wall_ms, all))
            .unwrap_or_default();
        Self {
            request: request.to_owned(),
            lines,
            host_state,
        }
    }

    /// Whether the logs have an event of the request.
    pub(crate) fn is_found(&self) -> bool {
        !self.lines.is_empty()
    }
}

/// Returns the line of the manifest in force on a host at a time, followed by the lines, in order
/// of time, of the losses of the dependencies that the host could not reach then. A start of the
/// host resets both. `all` must be sorted by time.
fn host_state_at<'a>(host: &str, wall_ms: u64, all: &'a [LogLine]) -> Vec<&'a LogLine> {
    let mut manifest = None;
    let mut lost: Vec<&LogLine> = Vec::new();
    for line in all.iter().filter(|line| line.host == host) {
        if line.wall_ms > wall_ms {
            break;
        }
        match &line.event {
            DecisionEvent::ManifestInForce { .. } => manifest = Some(line),
            DecisionEvent::DependencyLost { .. } => lost.push(line),
            DecisionEvent::DependencyRegained { dependency, .. } => {
                lost.retain(|line| !is_loss_of(line, dependency));
            }
            DecisionEvent::Started { .. } => {
                manifest = None;
                lost.clear();
            }
            _ => {}
        }
    }
    manifest.into_iter().chain(lost).collect()
}

/// Whether a line reports the loss of the dependency with this name.
fn is_loss_of(line: &LogLine, name: &str) -> bool {
    matches!(&line.event, DecisionEvent::DependencyLost { dependency, .. } if dependency == name)
}

impl fmt::Display for RequestTimeline<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return writeln!(f, "{}: not found in the logs", self.request);
        };
        writeln!(f, "{}, on {}:", self.request, first.host)?;
        for line in &self.host_state {
            let before_ms = first.wall_ms.saturating_sub(line.wall_ms);
            writeln!(f, "  {before_ms:>8} ms before  {}", EventText(&line.event))?;
        }
        for line in &self.lines {
            let after_ms = line.wall_ms.saturating_sub(first.wall_ms);
            writeln!(f, "  {after_ms:>8} ms after   {}", EventText(&line.event))?;
        }
        Ok(())
    }
}

/// Writes the counts of a set of engines, as the host knew them, on a new line; nothing if there
/// are none.
fn write_engine_counts(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    counts: Option<&EngineCountsRecord>,
) -> fmt::Result {
    match counts {
        Some(counts) => write!(f, "\n                     {name}: {counts}"),
        None => Ok(()),
    }
}

/// Writes the upstreams that accepted no requests, if any, on a line of their own.
fn write_excluded(f: &mut fmt::Formatter<'_>, excluded: Option<&ExcludedRecord>) -> fmt::Result {
    match excluded {
        Some(excluded) => write!(f, "\n                     without {excluded}"),
        None => Ok(()),
    }
}

/// Writes the customer, its standing against its share, and the priority, each if it is known, on a
/// line of their own.
fn write_customer(
    f: &mut fmt::Formatter<'_>,
    customer: Option<&str>,
    priority: Option<Priority>,
    share_ratio: Option<f64>,
) -> fmt::Result {
    let mut parts = Vec::new();
    match (customer, share_ratio) {
        (Some(customer), Some(ratio)) => parts.push(format!(
            "its customer {customer} was at {ratio:.1} times its share"
        )),
        (Some(customer), None) => parts.push(format!("its customer is {customer}")),
        (None, _) => {}
    }
    if let Some(priority) = priority {
        parts.push(format!("its priority {priority}"));
    }
    if parts.is_empty() {
        return Ok(());
    }
    write!(f, "\n                     {}", parts.join(", "))
}

/// Displays an event as text, which has several lines for some events.
struct EventText<'a>(&'a DecisionEvent);

impl fmt::Display for EventText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            DecisionEvent::ManifestInForce {
                generation,
                routes,
                keys,
            } => write!(
                f,
                "manifest {generation} in force: {routes} routes, {keys} keys"
            ),
            DecisionEvent::DependencyLost { dependency, error } => {
                // Losses are shown only as part of the state of the host at the first event, and
                // only those that had not ended by then.
                write!(f, "{dependency} unreachable at the first event: {error}")
            }
            DecisionEvent::UpstreamFault {
                upstream, fault, ..
            } => write!(f, "upstream {upstream}: {fault}"),
            DecisionEvent::ReservationRefused { error, .. } => {
                write!(f, "memory reservation refused: {error}")
            }
            DecisionEvent::Sent {
                upstream,
                helpers,
                reserves,
                earlier_sends,
                forecast_ms,
                elapsed_ms,
                prompt_tokens,
                manifest_age_ms,
                excluded,
                ..
            } => {
                write!(
                    f,
                    "sent to {upstream}, {elapsed_ms} ms after its arrival, {earlier_sends} \
                     earlier sends; {prompt_tokens} prompt tokens, {} helpers [{}], memory \
                     reserved on {reserves} engines, first event expected in {forecast_ms} ms; \
                     manifest confirmed {manifest_age_ms} ms ago",
                    helpers.len(),
                    helpers.join(" ")
                )?;
                write_excluded(f, excluded.as_ref())
            }
            DecisionEvent::Tunneled {
                upstream,
                via,
                elapsed_ms,
                ..
            } => write!(
                f,
                "connected to {upstream} through {via}, {elapsed_ms} ms after its arrival"
            ),
            DecisionEvent::RetryChecked {
                service,
                is_allowed,
                requests,
                retries,
                hosts,
                budget,
                uptime_ms,
                ..
            } => {
                let verdict = if *is_allowed {
                    "allowed"
                } else {
                    "not allowed"
                };
                let hosts = hosts.map_or("unknown".to_owned(), |hosts| hosts.to_string());
                write!(
                    f,
                    "retry {verdict}: {retries} of {budget:.1} used for {requests} requests to \
                     {service}; hosts that share the allowance: {hosts}; host up for {uptime_ms} ms"
                )
            }
            DecisionEvent::Refused {
                reason,
                prompt_tokens,
                elapsed_ms,
                objective_left_ms,
                time_left_ms,
                choices,
                near,
                all,
                retry_after_ms,
                upstreams,
                hosts_heard,
                manifest_age_ms,
                excluded,
                customer,
                priority,
                share_ratio,
                quarantined_parts,
                crashes,
                ..
            } => {
                write!(
                    f,
                    "refused ({reason}), {elapsed_ms} ms after its arrival with \
                     {objective_left_ms} ms left to be on time and {time_left_ms} ms until its \
                     deadline, after {choices} placement decisions; {prompt_tokens} prompt tokens, \
                     {upstreams} upstreams listed, load of {hosts_heard} other hosts known, retry \
                     after {retry_after_ms} ms; manifest confirmed {manifest_age_ms} ms ago"
                )?;
                if !quarantined_parts.is_empty() {
                    let parts = quarantined_parts.join(" ");
                    write!(f, "; {crashes} upstreams crashed under parts [{parts}]")?;
                }
                write_customer(f, customer.as_deref(), *priority, *share_ratio)?;
                write_engine_counts(f, "near", near.as_deref())?;
                write_engine_counts(f, "all", all.as_deref())?;
                write_excluded(f, excluded.as_ref())
            }
            DecisionEvent::Waiting {
                prompt_tokens,
                elapsed_ms,
                objective_left_ms,
                time_left_ms,
                choices,
                near,
                all,
                customer,
                priority,
                share_ratio,
                ..
            } => {
                write!(
                    f,
                    "waits, {elapsed_ms} ms after its arrival with {objective_left_ms} ms left to be \
                     on time and {time_left_ms} ms until its deadline, after {choices} placement \
                     decisions; {prompt_tokens} prompt tokens"
                )?;
                write_customer(f, customer.as_deref(), *priority, *share_ratio)?;
                write_engine_counts(f, "near", near.as_deref())?;
                write_engine_counts(f, "all", all.as_deref())
            }
            DecisionEvent::Ended {
                outcome,
                cause,
                status,
                elapsed_ms,
                first_event_ms,
                longest_pause_ms,
                generation,
                ..
            } => {
                write!(
                    f,
                    "{outcome}, status {status}, {elapsed_ms} ms after its arrival"
                )?;
                if let Some(first_event_ms) = first_event_ms {
                    write!(f, "; first event after {first_event_ms} ms, ")?;
                    write!(f, "longest pause {longest_pause_ms} ms")?;
                }
                write!(f, "; admitted by manifest {generation}")?;
                if let Some(cause) = cause {
                    write!(f, "; cut because of {cause}")?;
                }
                if outcome != "served" {
                    write!(f, "\n  {}", describe_outcome(outcome))?;
                }
                Ok(())
            }
            DecisionEvent::NotResent {
                reason,
                runs,
                elapsed_ms,
                time_left_ms,
                upstreams,
                ..
            } => write!(
                f,
                "not sent again: {reason}, {elapsed_ms} ms after its arrival with {time_left_ms} ms \
                 until its deadline; {runs} sends may have run, {upstreams} upstreams"
            ),
            DecisionEvent::ResendHeld {
                silent_upstreams,
                able_upstreams,
                elapsed_ms,
                ..
            } => write!(
                f,
                "waits for its silent upstream, {elapsed_ms} ms after its arrival: \
                 {silent_upstreams} upstreams are silent and {able_upstreams} could take over"
            ),
            other => write!(f, "{other:?}"),
        }
    }
}
