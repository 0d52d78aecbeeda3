//! Probes that wait for their answers.

use std::time::Instant;

use indexmap::IndexMap;

use crate::control::membership::conf::DIRECT_TIMEOUT;
use crate::control::membership::conf::ROUND;
use crate::units::HostId;

/// What is due for a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStep {
    /// Ask others to probe this host.
    AskOthers { seq: u64, target: HostId },
    /// Nobody got an answer from this host.
    Failed { target: HostId },
}

/// Probes that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    own: IndexMap<u64, OwnProbe>,
    for_others: IndexMap<u64, ProbeForOther>,
    last_seq: u64,
}

#[derive(Debug)]
struct OwnProbe {
    target: HostId,
    sent_at: Instant,
    has_asked_others: bool,
}

#[derive(Debug)]
struct ProbeForOther {
    asked_by: HostId,
    asked_seq: u64,
    sent_at: Instant,
}

impl Probes {
    /// Begins a probe and returns its number.
    pub(crate) fn begin(&mut self, target: HostId, now: Instant) -> u64 {
        let seq = self.next_seq();
        let probe = OwnProbe {
            target,
            sent_at: now,
            has_asked_others: false,
        };
        self.own.insert(seq, probe);
        seq
    }

    /// Begins a probe for another host and returns its number.
    pub(crate) fn begin_for(&mut self, asked_by: HostId, asked_seq: u64, now: Instant) -> u64 {
        let seq = self.next_seq();
        let probe = ProbeForOther {
            asked_by,
            asked_seq,
            sent_at: now,
        };
        self.for_others.insert(seq, probe);
        seq
    }

    /// Takes in an answer; the host that asked for the probe and its number, if another did.
    pub(crate) fn acked(&mut self, seq: u64) -> Option<(HostId, u64)> {
        self.own.swap_remove(&seq);
        let probe = self.for_others.swap_remove(&seq)?;
        Some((probe.asked_by, probe.asked_seq))
    }

    /// Whether a probe of this host is going on.
    pub(crate) fn is_probing(&self, host: &HostId) -> bool {
        self.own.values().any(|probe| probe.target == *host)
    }

    /// What is due now.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        self.for_others
            .retain(|_, probe| now.saturating_duration_since(probe.sent_at) < ROUND);
        self.own.retain(|seq, probe| {
            let elapsed = now.saturating_duration_since(probe.sent_at);
            let target = probe.target.clone();
            if elapsed >= ROUND {
                steps.push(ProbeStep::Failed { target });
                return false;
            }
            if elapsed >= DIRECT_TIMEOUT && !probe.has_asked_others {
                probe.has_asked_others = true;
                steps.push(ProbeStep::AskOthers { seq: *seq, target });
            }
            true
        });
        steps
    }

    /// Forgets all probes, whose answers were missed while this process was paused.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.for_others.clear();
    }

    fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }
}
