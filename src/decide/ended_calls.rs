//! The calls that have ended at upstreams which are not known to have lived on for long enough.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::EndedCall;
use crate::decide::RequestPart;
use crate::decide::part_quarantine::is_older_than;
use crate::units::CrashId;

/// The number of calls that are kept.
const CALLS_MAX: usize = 1_024;
/// How long it takes at most until the end of an upstream is noticed.
const NOTICED_WITHIN: Duration = Duration::from_secs(5);

/// A call that has ended, with what is known of the upstream since.
#[derive(Debug)]
pub(crate) struct KeptCall {
    pub(crate) call: EndedCall,
    pub(crate) ended_at: Instant,
    /// When the upstream was last known to be alive.
    alive_at: Instant,
}

/// The ended calls of this host, in the order of their ends.
#[derive(Debug, Default)]
pub(crate) struct EndedCalls(VecDeque<KeptCall>);

impl EndedCalls {
    pub(crate) fn push(&mut self, call: EndedCall, now: Instant) {
        if self.0.len() >= CALLS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(KeptCall {
            call,
            ended_at: now,
            alive_at: now,
        });
    }

    /// Takes the calls of an instance that has ended.
    pub(crate) fn take_of(&mut self, crash: CrashId) -> Vec<KeptCall> {
        self.take_if(|kept| kept.call.crash == crash)
    }

    /// Records that an instance has answered a call that was sent at `sent_at`. Takes the calls that have
    /// not crashed it.
    pub(crate) fn take_survived(&mut self, crash: CrashId, sent_at: Instant) -> Vec<KeptCall> {
        let of_instance = self.0.iter_mut().filter(|kept| kept.call.crash == crash);
        for kept in of_instance {
            kept.alive_at = kept.alive_at.max(sent_at);
        }
        self.take_if(|kept| {
            let crashed_within = kept.call.end.crashed_within();
            kept.call.crash == crash && is_older_than(kept.ended_at, crashed_within, sent_at)
        })
    }

    /// Takes the calls whose upstreams would be known to have ended by now.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<KeptCall> {
        self.take_if(|kept| {
            let retention = kept.call.end.crashed_within() + NOTICED_WITHIN;
            is_older_than(kept.ended_at, retention, now)
        })
    }

    /// Whether an upstream has answered a call with the part, and lived on for longer than this.
    pub(crate) fn has_survived(&self, part: RequestPart, lived_min: Duration) -> bool {
        self.answered_with(part)
            .any(|kept| kept.alive_at.saturating_duration_since(kept.ended_at) > lived_min)
    }

    fn answered_with(&self, part: RequestPart) -> impl Iterator<Item = &KeptCall> {
        let calls = self.0.iter();
        calls.filter(move |kept| kept.call.answered_parts().contains(&part))
    }

    fn take_if(&mut self, is_taken: impl Fn(&KeptCall) -> bool) -> Vec<KeptCall> {
        if !self.0.iter().any(&is_taken) {
            return Vec::new();
        }
        let all = std::mem::take(&mut self.0).into_iter();
        let (taken, kept): (Vec<_>, Vec<_>) = all.partition(is_taken);
        self.0 = kept.into();
        taken
    }
}
