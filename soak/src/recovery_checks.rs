//! Checks that callers are served after all faults have ended.

use crate::checks::Violation;
use crate::crashing_request::CrashCause;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::Observations;
use crate::history::Timestamp;

/// Returns a violation if fewer than 95% of the attempts sent from `served_from` on were served, or
/// if there are none. Abandoned attempts and those with status 401 do not count.
pub(crate) fn check(observations: &Observations, served_from: Timestamp) -> Option<Violation> {
    let is_counted = |attempt: &&CallerAttempt| attempt.sent_at >= served_from && attempt.is_owed();
    let sound = observations.attempts.iter();
    let sound = sound.filter(|(request, _)| CrashCause::of(request).is_none());
    let counted: Vec<&CallerAttempt> = sound.map(|(_, a)| a).filter(is_counted).collect();
    let is_served =
        |attempt: &&&CallerAttempt| matches!(attempt.outcome, CallerOutcome::Success { .. });
    let served = counted.iter().filter(is_served).count();
    let failed = counted.iter().filter(|attempt| !is_served(attempt));
    let failed: Vec<String> = failed
        .map(|a| format!("{:?} at host {}: {:?}", a.class, a.host, a.outcome))
        .collect();
    (served * 20 < counted.len() * 19 || counted.is_empty()).then(|| Violation {
        guarantee: "callers are served after all faults have ended",
        details: format!(
            "{served} of {} from {served_from:?} on; {failed:?}",
            counted.len()
        ),
    })
}
