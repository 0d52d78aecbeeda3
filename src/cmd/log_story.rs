//! The story of one request, from the decision logs.

use std::fmt;

use crate::cmd::log_causes::cause;
use crate::cmd::logs::Line;
use crate::gateway::DecisionEvent;
use crate::gateway::EngineCountsRecord;

/// What the logs know of one request, in order.
pub(crate) struct Story<'a> {
    request: String,
    lines: Vec<&'a Line>,
    /// What its host took to be true when it began: the newest manifest, and what it could not
    /// reach.
    beliefs: Vec<&'a Line>,
}

impl<'a> Story<'a> {
    pub(crate) fn new(request: &str, all: &'a [Line]) -> Self {
        let is_about = |line: &&Line| line.event.request() == Some(request);
        let lines: Vec<&Line> = all.iter().filter(is_about).collect();
        let beliefs = lines
            .first()
            .map(|first| beliefs_of(&first.host, first.wall_ms, all))
            .unwrap_or_default();
        Self {
            request: request.to_owned(),
            lines,
            beliefs,
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        !self.lines.is_empty()
    }
}

/// The last manifest that came into force on a host before a moment, and the dependencies that it
/// had lost then.
fn beliefs_of<'a>(host: &str, wall_ms: u64, all: &'a [Line]) -> Vec<&'a Line> {
    let mut manifest = None;
    let mut lost: Vec<&Line> = Vec::new();
    for line in all.iter().filter(|line| line.host == host) {
        if line.wall_ms > wall_ms {
            break;
        }
        match &line.event {
            DecisionEvent::ManifestInForce { .. } => manifest = Some(line),
            DecisionEvent::DependencyLost { .. } => lost.push(line),
            DecisionEvent::DependencyRegained { dependency, .. } => {
                lost.retain(|lost| !is_loss_of(lost, dependency));
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

fn is_loss_of(line: &Line, wanted: &str) -> bool {
    matches!(&line.event, DecisionEvent::DependencyLost { dependency, .. } if dependency == wanted)
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return writeln!(f, "{}: in none of the logs", self.request);
        };
        writeln!(f, "{}, on {}:", self.request, first.host)?;
        for line in &self.beliefs {
            let before_ms = first.wall_ms.saturating_sub(line.wall_ms);
            writeln!(f, "  {before_ms:>8} ms before  {}", Told(&line.event))?;
        }
        for line in &self.lines {
            let after_ms = line.wall_ms.saturating_sub(first.wall_ms);
            writeln!(f, "  {after_ms:>8} ms after   {}", Told(&line.event))?;
        }
        Ok(())
    }
}

/// What a host saw of some of the engines, on a line of its own.
fn write_seen(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    seen: Option<&EngineCountsRecord>,
) -> fmt::Result {
    match seen {
        Some(seen) => write!(f, "\n                     {name}: {seen}"),
        None => Ok(()),
    }
}

/// An event as a sentence.
struct Told<'a>(&'a DecisionEvent);

impl fmt::Display for Told<'_> {
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
                write!(f, "{dependency} lost, not regained: {error}")
            }
            DecisionEvent::UpstreamFault {
                upstream, fault, ..
            } => write!(f, "upstream {upstream}: {fault}"),
            DecisionEvent::ReservationRefused { error, .. } => {
                write!(f, "no memory set aside: {error}")
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
                ..
            } => write!(
                f,
                "sent to {upstream}, {elapsed_ms} ms after its arrival, {earlier_sends} sends \
                 before; {prompt_tokens} prompt tokens, {} helpers [{}], memory on {reserves} \
                 engines, first event expected in {forecast_ms} ms; manifest proved \
                 {manifest_age_ms} ms ago",
                helpers.len(),
                helpers.join(" ")
            ),
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
                ..
            } => {
                write!(
                    f,
                    "turned away ({reason}), {elapsed_ms} ms after its arrival with \
                     {objective_left_ms} ms left to be on time and {time_left_ms} ms in all, after \
                     {choices} choices; {prompt_tokens} prompt tokens, \
                     {upstreams} upstreams listed, work of {hosts_heard} other hosts known, to come \
                     back after {retry_after_ms} ms; manifest proved {manifest_age_ms} ms ago"
                )?;
                write_seen(f, "near", near.as_deref())?;
                write_seen(f, "all", all.as_deref())
            }
            DecisionEvent::Waiting {
                prompt_tokens,
                elapsed_ms,
                objective_left_ms,
                time_left_ms,
                choices,
                near,
                all,
                ..
            } => {
                write!(
                    f,
                    "waits, {elapsed_ms} ms after its arrival with {objective_left_ms} ms left to be \
                     on time and {time_left_ms} ms in all, after {choices} choices; \
                     {prompt_tokens} prompt tokens"
                )?;
                write_seen(f, "near", Some(near))?;
                write_seen(f, "all", Some(all))
            }
            DecisionEvent::Ended {
                outcome,
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
                if outcome != "served" {
                    write!(f, "\n  {}", cause(outcome))?;
                }
                Ok(())
            }
            other => write!(f, "{other:?}"),
        }
    }
}
