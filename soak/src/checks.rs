//! Checks the guarantees of the system against what callers, upstreams and the operator observed.

use std::time::Duration;

use crate::call;
use crate::call::CallClass;
use crate::deployment::REVOCATION_DELAY;
use crate::flood_checks;
pub use crate::guarantee_set::GuaranteeSet;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::FaultScope;
use crate::history::Observations;
use crate::history::StoreChange;
use crate::history::Timestamp;
use crate::history::UpstreamRun;
use crate::limit_checks;
use crate::notice_checks;
use crate::part_checks;
use crate::path_checks;
use crate::recovery_checks;
use crate::retry_checks;
use crate::silence_checks;

/// Time after the end of a fault until its effects are gone and hosts have current data from the
/// platform again.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time after the store has accepted a change until the change must be in force on all hosts.
const CHANGE_PROPAGATION_TIME: Duration = Duration::from_millis(2_700);
/// Time after the last fault that affected a host until it must know the evacuations in force.
const EVACUATION_LEARNING_TIME: Duration = Duration::from_secs(5);
/// Extra time allowed beyond the deadline of a request, for machines under load.
const LATENCY_SLACK: Duration = Duration::from_millis(1_000);
/// How much the deadline that an upstream receives may exceed the remaining time.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// A request that fails sooner than this without having run may have been sent while its connection
/// was being closed, or after the process had exited: link proxies accept connections even then.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(200);

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A guarantee that was broken, with the observations that show it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// The request, and what its caller and the upstreams observed.
    pub details: String,
}

/// Checks the observations against a set of guarantees and returns all violations. From
/// `served_from` on, all faults and their effects are over.
pub fn check(
    observations: &Observations,
    guarantees: GuaranteeSet,
    served_from: Timestamp,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (request, attempt) in &observations.attempts {
        let runs = observations
            .runs
            .get(request)
            .map_or(&[][..], Vec::as_slice);
        let check = AttemptCheck {
            observations,
            request,
            attempt,
            runs,
        };
        violations.extend(check.safety());
        if guarantees == GuaranteeSet::All {
            violations.extend(check.timeliness());
        }
    }
    for request in observations
        .runs
        .keys()
        .filter(|id| !observations.attempts.contains_key(*id))
    {
        violations.push(Violation {
            guarantee: "nothing runs that no caller requested",
            details: request.clone(),
        });
    }
    if guarantees == GuaranteeSet::All {
        violations.extend(recovery_checks::check(observations, served_from));
        violations.extend(limit_checks::check(observations));
        violations.extend(notice_checks::check(observations));
        violations.extend(retry_checks::check(observations));
        violations.extend(path_checks::check(observations));
        violations.extend(flood_checks::check(observations));
        violations.extend(part_checks::check(observations));
    }
    if guarantees != GuaranteeSet::Safety {
        violations.extend(silence_checks::check(observations));
    }
    violations
}

/// One attempt with its runs at upstreams, to be checked.
struct AttemptCheck<'a> {
    observations: &'a Observations,
    request: &'a str,
    attempt: &'a CallerAttempt,
    runs: &'a [UpstreamRun],
}

impl AttemptCheck<'_> {
    /// Returns the violations of safety guarantees.
    fn safety(&self) -> Vec<Violation> {
        let checks = [
            (
                "a response is complete and belongs to its request",
                self.is_response_correct(),
            ),
            (
                "a request reported as not run has not run",
                self.is_not_run_status_correct(),
            ),
            (
                "a request that must not be repeated runs at most once",
                self.class() != CallClass::AtMostOnce || self.runs.len() <= 1,
            ),
            (
                "no more upstreams run a request than its route allows",
                self.is_run_count_allowed(),
            ),
            (
                "upstreams receive requests unchanged",
                self.are_requests_unchanged(),
            ),
            ("revoked keys stop working", self.is_revoked_key_rejected()),
        ];
        self.violations(&checks)
    }

    /// Returns the violations of guarantees that bound times.
    fn timeliness(&self) -> Vec<Violation> {
        let checks = [
            ("a request ends by its deadline", self.ends_by_deadline()),
            (
                "upstreams are given no more than the remaining time",
                self.are_upstream_deadlines_valid(),
            ),
            (
                "a planned stop interrupts no request",
                self.is_uninterrupted_by_stop(),
            ),
            (
                "a manifest change takes effect in time",
                self.is_routed_by_current_manifest(),
            ),
            (
                "a leaving upstream gets no new requests",
                self.is_leaving_upstream_avoided(),
            ),
            (
                "an evacuated failure domain gets no new requests",
                self.is_evacuated_domain_avoided(),
            ),
        ];
        self.violations(&checks)
    }

    /// Returns a violation for each of the checks that failed.
    fn violations(&self, checks: &[(&'static str, bool)]) -> Vec<Violation> {
        let failed = checks.iter().filter(|(_, holds)| !holds);
        failed
            .map(|(guarantee, _)| Violation {
                guarantee,
                details: format!("{} {:?} runs {:?}", self.request, self.attempt, self.runs),
            })
            .collect()
    }

    fn class(&self) -> CallClass {
        self.attempt.class
    }

    /// Whether a success has the expected body and was signed by an upstream that ran the request,
    /// and whether a signed failure has status 500. Other outcomes count as correct.
    fn is_response_correct(&self) -> bool {
        match &self.attempt.outcome {
            CallerOutcome::Success { signature, body } => {
                let has_run = self.runs.iter().any(|run| run.upstream == *signature);
                has_run && *body == self.expected_body(signature)
            }
            // A failure that an upstream signed must have the status that the upstream sent, 500.
            CallerOutcome::Failure(status, Some(_)) => *status == 500,
            _ => true,
        }
    }

    /// Returns the body that the upstream must send, with one element for each event of a stream.
    fn expected_body(&self, signature: &str) -> Vec<String> {
        if !self.class().is_stream() {
            return vec![call::plain_response_body(self.request, signature)];
        }
        let ids = 1..=call::event_count(self.request);
        ids.map(|id| format!("id: {id}\ndata: {}", call::event_data(self.request, id)))
            .collect()
    }

    /// Whether a status that reports the request as not run is correct.
    fn is_not_run_status_correct(&self) -> bool {
        match &self.attempt.outcome {
            CallerOutcome::Failure(status, _) if NOT_RUN_STATUSES.contains(status) => {
                self.runs.is_empty()
            }
            _ => true,
        }
    }

    /// Whether the number of runs is within the maximum of the route. Runs at upstreams that ended
    /// do not count.
    fn is_run_count_allowed(&self) -> bool {
        let ends = &self.observations.upstream_ends;
        let at_surviving = self
            .runs
            .iter()
            .filter(|run| !ends.contains_key(&run.upstream));
        at_surviving.count() <= usize::try_from(self.class().runs_max()).unwrap_or(usize::MAX)
    }

    /// Whether upstreams received the request without changes, with its customer and without its
    /// key.
    fn are_requests_unchanged(&self) -> bool {
        let customer = self.attempt.key.split('-').nth(1).unwrap_or_default();
        let customer = format!("customer-{customer}");
        self.runs
            .iter()
            .all(|run| run.is_unchanged && !run.has_key && run.customer.as_ref() == Some(&customer))
    }

    /// Whether the request has not run if its key had been revoked for longer than the revocation
    /// delay.
    fn is_revoked_key_rejected(&self) -> bool {
        let revoked_at = self
            .observations
            .changes
            .iter()
            .find_map(|(at, change)| match change {
                StoreChange::KeyRevoked(key) if *key == self.attempt.key => Some(*at),
                _ => None,
            });
        let is_late = revoked_at.is_some_and(|at| self.attempt.sent_at > at + REVOCATION_DELAY);
        !is_late || self.runs.is_empty()
    }

    /// Whether no fault affected the host from `SETTLING_TIME` before the attempt until its end.
    fn is_host_undisturbed(&self) -> bool {
        self.is_host_undisturbed_since(self.attempt.sent_at)
    }

    /// Whether no fault affected the host from `SETTLING_TIME` before `at` until the end of the
    /// attempt.
    fn is_host_undisturbed_since(&self, at: Timestamp) -> bool {
        let from = at.saturating_sub(SETTLING_TIME);
        let (host, to) = (self.attempt.host, self.attempt.ended_at);
        self.observations
            .faults_affecting(host, from, to)
            .next()
            .is_none()
    }

    /// Whether the attempt ended in time, unless a fault affected the host.
    fn ends_by_deadline(&self) -> bool {
        let duration = self.attempt.ended_at.saturating_sub(self.attempt.sent_at);
        duration <= self.attempt.deadline + LATENCY_SLACK || !self.is_host_undisturbed()
    }

    /// Whether upstreams were given no more than the remaining time, unless a fault affected the
    /// host.
    fn are_upstream_deadlines_valid(&self) -> bool {
        let ends_at = self.attempt.sent_at + self.attempt.deadline + DEADLINE_SLACK;
        let is_valid = |run: &UpstreamRun| {
            run.deadline
                .is_some_and(|remaining| run.arrived_at + remaining <= ends_at)
        };
        self.runs.iter().all(is_valid) || !self.is_host_undisturbed() || self.is_path_cut()
    }

    /// Whether a link from the host to upstreams was cut during the attempt or shortly before it.
    fn is_path_cut(&self) -> bool {
        let from = self.attempt.sent_at.saturating_sub(SETTLING_TIME);
        let (host, to) = (self.attempt.host, self.attempt.ended_at);
        self.observations.is_path_cut(host, from, to)
    }

    /// Whether the connection did not break, unless a fault other than a planned stop of the host
    /// may have broken it.
    fn is_uninterrupted_by_stop(&self) -> bool {
        // A request that is sent while its connection is being closed may never be read.
        let duration = self.attempt.ended_at.saturating_sub(self.attempt.sent_at);
        let was_read = !self.runs.is_empty() || duration > CLOSE_RACE_TIME;
        if !matches!(self.attempt.outcome, CallerOutcome::ConnectionBroken(_)) || !was_read {
            return true;
        }
        let from = self.attempt.sent_at.saturating_sub(SETTLING_TIME);
        let is_due = duration >= self.attempt.deadline;
        let overlapping = self.observations.faults.iter();
        // Because of a silence a request may end at its deadline, but not before.
        let mut overlapping = overlapping.filter(|fault| {
            (is_due || fault.scope != FaultScope::SilentUpstreams)
                && fault.overlaps(from, self.attempt.ended_at)
        });
        // Any other fault at the same time may have interrupted the request.
        !overlapping.all(|fault| fault.scope == FaultScope::PlannedStop(self.attempt.host))
    }

    /// Whether all runs are at a service to which the route may have led when the attempt was sent,
    /// unless a fault affected the host.
    fn is_routed_by_current_manifest(&self) -> bool {
        if self.class() != CallClass::Moving {
            return true;
        }
        let moves = self
            .observations
            .changes
            .iter()
            .filter_map(|(at, change)| match change {
                StoreChange::RouteMoved(service) => Some((*at, service.as_str())),
                _ => None,
            });
        // A request may be routed to the last service in force or to any service accepted since.
        let moves: Vec<(Timestamp, &str)> = [(Timestamp::ZERO, call::PLAIN_SERVICES[0])]
            .into_iter()
            .chain(moves)
            .collect();
        let is_superseded = |index: usize| {
            let next = moves.get(index + 1);
            next.is_some_and(|(at, _)| self.attempt.sent_at > *at + CHANGE_PROPAGATION_TIME)
        };
        let is_allowed = |run: &UpstreamRun| {
            let mut all = moves.iter().enumerate();
            all.any(|(index, (_, service))| *service == run.service && !is_superseded(index))
        };
        self.runs.iter().all(is_allowed) || !self.is_host_undisturbed()
    }

    /// Whether no run started in a failure domain after its evacuation had propagated and before
    /// that ended. A fault that affected the host delays this until it has learnt the evacuations
    /// again after the end of the fault.
    fn is_evacuated_domain_avoided(&self) -> bool {
        self.runs.iter().all(|run| {
            let earlier = self.observations.changes.iter();
            let earlier = earlier.filter(|(at, _)| *at <= run.arrived_at);
            let evacuated_at = earlier.fold(None, |since, (at, change)| match change {
                StoreChange::DomainEvacuated(domain) if *domain == run.domain => {
                    since.or(Some(*at))
                }
                StoreChange::EvacuationEnded(domain) if *domain == run.domain => None,
                _ => since,
            });
            evacuated_at.is_none_or(|evacuated_at| {
                run.arrived_at <= evacuated_at + CHANGE_PROPAGATION_TIME
                    || (!self.is_host_undisturbed_since(evacuated_at)
                        && !self.has_learnt_evacuation(evacuated_at, run.arrived_at))
            })
        })
    }

    /// Whether the evacuation and the end of the last fault that affected the host are so long before
    /// `at` that the host must know the evacuation.
    fn has_learnt_evacuation(&self, evacuated_at: Timestamp, at: Timestamp) -> bool {
        let Some(evacuated_by) = at.checked_sub(EVACUATION_LEARNING_TIME) else {
            return false;
        };
        let (host, to) = (self.attempt.host, self.attempt.ended_at);
        let mut faults = self.observations.faults_affecting(host, evacuated_by, to);
        evacuated_at < evacuated_by && faults.next().is_none()
    }

    /// Whether no run started at a leaving upstream after the announcement had propagated, unless a
    /// fault affected the host.
    fn is_leaving_upstream_avoided(&self) -> bool {
        self.runs.iter().all(|run| {
            let leaving_at =
                self.observations
                    .changes
                    .iter()
                    .find_map(|(at, change)| match change {
                        StoreChange::UpstreamLeaving(id) if *id == run.upstream => Some(*at),
                        _ => None,
                    });
            let Some(leaving_at) = leaving_at else {
                return true;
            };
            run.arrived_at <= leaving_at + CHANGE_PROPAGATION_TIME
                || !self.is_host_undisturbed_since(leaving_at)
        })
    }
}
