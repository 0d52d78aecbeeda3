//! Requests that crash upstreams, by themselves or by parts of their prompts: where crashes and served
//! requests are recorded, told to other hosts and learned from them.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::decide::CallEnd;
use crate::decide::CrashCheck;
use crate::decide::CrashSuspect;
use crate::decide::EndedCall;
use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::QuarantinedParts;
use crate::decide::RequestPart;
use crate::exchange::PartEvidenceEntry;
use crate::gateway::Call;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::answer_progress::AnswerProgress;
use crate::units::CrashId;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// The number of suspected requests that one line of the log names.
const LOGGED_REQUESTS_MAX: usize = 16;

impl Gateway {
    /// Locks what is known of requests that crash upstreams.
    pub fn part_quarantine(&self) -> MutexGuard<'_, PartQuarantine> {
        let quarantine = self.part_quarantine.lock();
        quarantine.unwrap_or_else(PoisonError::into_inner)
    }

    /// The quarantined parts because of which a call is refused, if any.
    pub(crate) fn find_quarantined(&self, call: &Call, now: Instant) -> Option<QuarantinedParts> {
        match self.check_crashes(call, now) {
            CrashCheck::Admit | CrashCheck::AdmitOnce => None,
            CrashCheck::Refuse(quarantined) | CrashCheck::Probe(quarantined) => Some(quarantined),
        }
    }

    /// Whether a call may be sent, as far as it may crash upstreams.
    pub(crate) fn check_crashes(&self, call: &Call, now: Instant) -> CrashCheck {
        // Hashing a large body takes a while, so it is done only if it can matter.
        if self.part_quarantine().admits_all() {
            return CrashCheck::Admit;
        }
        let parts = call.parts();
        self.part_quarantine().check(&parts, now)
    }

    /// Records that the connection to an upstream broke while it answered a call. The parts of the
    /// prompt are suspected of each such crash if its head was received and no event. Otherwise they are
    /// only if crashes with other calls suggest it.
    pub(crate) fn on_crash_suspect(
        &self,
        call: &Call,
        upstream: &ListedUpstream,
        progress: AnswerProgress,
        now: Instant,
    ) {
        // An answer in one piece may have begun although nothing of it was received.
        let is_beginning = progress == AnswerProgress::Begun || !call.route.kind.is_stream();
        let point = match progress {
            AnswerProgress::Events => LossPoint::MidStream,
            _ => LossPoint::Early,
        };
        let is_mid_stream = point == LossPoint::MidStream;
        let request = call.hash();
        let mut quarantine = self.part_quarantine();
        let crash = CrashId::from(&upstream.id);
        // A request may break its connections without ending the upstream. This counts against the
        // request alone, since each host may see as many of these as it has calls.
        let request_crash = quarantine.crash_id(&upstream.id, call.arrived_at);
        let is_repeated = request_crash != crash;
        let mut changes = Vec::new();
        if is_repeated && !is_mid_stream {
            let repeated = CrashSuspect::of_request(request_crash, request);
            changes.extend(quarantine.on_crash(repeated, now));
        }
        if is_beginning {
            let whole = (!is_repeated).then(|| request.into());
            let parts = call.prompt_parts().chain(whole).collect();
            changes.extend(quarantine.on_crash(CrashSuspect { crash, parts }, now));
        } else if !is_repeated || is_mid_stream {
            let parts = call.prompt_parts().collect();
            let lost = LostCall {
                crash,
                request,
                parts,
                point,
            };
            changes.extend(quarantine.on_lost(&lost, now));
        }
        drop(quarantine);
        self.log_quarantine_changes(&changes, None);
        self.note_own_crash(request_crash, now);
        self.broadcast_now.notify_one();
    }

    /// Records that a call has ended at an upstream, which may still crash under it.
    pub(crate) fn on_call_ended(&self, call: &Call, upstream: &UpstreamId, end: CallEnd) {
        let ended = EndedCall {
            crash: CrashId::from(upstream),
            request: call.hash(),
            parts: call.prompt_parts().collect(),
            end,
        };
        let now = self.clock.now();
        let changes = self.part_quarantine().on_call_ended(ended, now);
        self.log_quarantine_changes(&changes, None);
    }

    /// Records that an upstream has ended: it refuses connections, or is no longer listed.
    pub(crate) fn on_upstream_ended(&self, upstream: &UpstreamId, sign: &str) {
        let now = self.clock.now();
        let crash = CrashId::from(upstream);
        let mut quarantine = self.part_quarantine();
        let changes = quarantine.on_upstream_ended(crash, now);
        let suspected = quarantine.suspected_in(crash).take(LOGGED_REQUESTS_MAX);
        let suspected: Vec<RequestPart> = suspected.map(RequestPart::from).collect();
        drop(quarantine);
        self.log_quarantine_changes(&changes, None);
        if !suspected.is_empty() {
            self.note_own_crash(crash, now);
            self.broadcast_now.notify_one();
            self.log.record(DecisionEvent::UpstreamEnded {
                upstream: upstream.to_string(),
                sign: sign.to_owned(),
                suspected: part_names(&suspected),
            });
        }
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`.
    pub(crate) fn on_upstream_answer(&self, upstream: &ListedUpstream, sent_at: Instant) {
        let now = self.clock.now();
        let crash = CrashId::from(&upstream.id);
        let changes = self.part_quarantine().on_alive(crash, sent_at, now);
        self.log_quarantine_changes(&changes, None);
    }

    /// The entries about parts of prompts for the updates of this host.
    pub(crate) fn part_evidence(&self, now: Instant) -> Vec<PartEvidenceEntry> {
        let evidence = self.part_quarantine().evidence(now);
        evidence.into_iter().map(PartEvidenceEntry::from).collect()
    }

    /// Applies what another host reports about parts of prompts.
    pub(crate) fn apply_part_evidence(
        &self,
        told_by: &str,
        entries: &[PartEvidenceEntry],
        now: Instant,
    ) {
        for evidence in entries.iter().filter_map(PartEvidenceEntry::evidence) {
            let changes = self.part_quarantine().on_evidence(evidence, now);
            self.log_quarantine_changes(&changes, Some(told_by));
        }
    }

    /// Logs changes of what is quarantined, and has them saved.
    pub(crate) fn log_quarantine_changes(
        &self,
        changes: &[QuarantineChange],
        told_by: Option<&str>,
    ) {
        self.on_quarantine_changes(changes);
        self.log_part_counts();
        let now = self.clock.now();
        for change in changes {
            let quarantined = change.quarantined();
            self.metrics.record_quarantine(change.name());
            self.log.record(DecisionEvent::PartQuarantine {
                change: change.name().into(),
                parts: part_names(&quarantined.parts),
                crashes: quarantined.crashes,
                told_by: told_by.map(str::to_owned),
                time_left_ms: whole_millis(quarantined.time_left(now)),
            });
        }
    }
}

impl Gateway {
    /// Logs what the counts of tries say of parts under which many upstreams have ended.
    fn log_part_counts(&self) {
        let counts = self.part_quarantine().take_part_counts();
        for count in counts {
            self.log.record(DecisionEvent::PartCounted {
                part: count.part.to_string(),
                crashes: count.crashes,
                served: count.survivals,
                expected_crashes: count.expected,
                is_cause: count.is_cause,
            });
        }
    }
}

/// The ids of parts as they stand in logs.
pub(crate) fn part_names(parts: &[RequestPart]) -> Vec<String> {
    parts.iter().map(ToString::to_string).collect()
}
