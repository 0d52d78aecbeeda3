//! Probes that are waiting for an answer.

use std::time::Instant;

use indexmap::IndexMap;

use crate::control::membership::conf::DIRECT_PROBE_TIMEOUT;
use crate::control::membership::conf::PROBE_INTERVAL;
use crate::units::HostId;

/// The next step of an unanswered probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStep {
    /// Ask other hosts to probe the target on behalf of this host.
    RequestIndirect { seq: u64, target: HostId },
    /// Neither this host nor the others received an answer from the target.
    Failed { target: HostId },
}

/// The probes that are waiting for an answer, by sequence number.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    own: IndexMap<u64, OwnProbe>,
    delegated: IndexMap<u64, DelegatedProbe>,
    last_seq: u64,
}

/// A probe that this host sent on its own behalf.
#[derive(Debug)]
struct OwnProbe {
    target: HostId,
    sent_at: Instant,
    has_requested_indirect: bool,
}

/// A probe that this host sent for another host, `requester`, whose own probe with the sequence
/// number `requester_seq` was not answered. An answer is passed on to the requester.
#[derive(Debug)]
struct DelegatedProbe {
    requester: HostId,
    requester_seq: u64,
    sent_at: Instant,
}

impl Probes {
    /// Starts a probe and returns its sequence number.
    pub(crate) fn begin(&mut self, target: HostId, now: Instant) -> u64 {
        let seq = self.next_seq();
        let probe = OwnProbe {
            target,
            sent_at: now,
            has_requested_indirect: false,
        };
        self.own.insert(seq, probe);
        seq
    }

    /// Starts a probe on behalf of another host and returns its sequence number.
    pub(crate) fn begin_delegated(
        &mut self,
        requester: HostId,
        requester_seq: u64,
        now: Instant,
    ) -> u64 {
        let seq = self.next_seq();
        let probe = DelegatedProbe {
            requester,
            requester_seq,
            sent_at: now,
        };
        self.delegated.insert(seq, probe);
        seq
    }

    /// Handles an answer and ends its probe. If another host requested the probe, returns that host
    /// and its own sequence number.
    pub(crate) fn on_ack(&mut self, seq: u64) -> Option<(HostId, u64)> {
        self.own.swap_remove(&seq);
        let probe = self.delegated.swap_remove(&seq)?;
        Some((probe.requester, probe.requester_seq))
    }

    /// Whether a probe of this host is waiting for an answer.
    pub(crate) fn is_probing(&self, host: &HostId) -> bool {
        self.own.values().any(|probe| probe.target == *host)
    }

    /// Returns the steps that are due, each once, and drops the probes that have timed out.
    pub(crate) fn take_due_steps(&mut self, now: Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        self.delegated
            .retain(|_, probe| now.saturating_duration_since(probe.sent_at) < PROBE_INTERVAL);
        self.own.retain(|seq, probe| {
            let elapsed = now.saturating_duration_since(probe.sent_at);
            let target = probe.target.clone();
            if elapsed >= PROBE_INTERVAL {
                steps.push(ProbeStep::Failed { target });
                return false;
            }
            if elapsed >= DIRECT_PROBE_TIMEOUT && !probe.has_requested_indirect {
                probe.has_requested_indirect = true;
                steps.push(ProbeStep::RequestIndirect { seq: *seq, target });
            }
            true
        });
        steps
    }

    /// Drops all probes without reporting them as failed. To be called after a pause of this
    /// process, which may have missed the answers.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.delegated.clear();
    }

    fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }
}
