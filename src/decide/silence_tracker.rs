//! Which upstreams are silent, and whether their calls are to be sent to others.
//!
//! Load condition: all or most upstreams of a service, or those behind one link, are silent for a
//! second, with dozens of calls. The others cannot take these over, every call that is sent again is
//! work for upstreams that have to recover, and the retry budget is used up when a single upstream
//! fails next.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::ServiceId;
use crate::units::UpstreamId;

/// The number of silent upstreams from which on a silence can be shared. The silence of one is its
/// own fault.
const SHARED_UPSTREAMS_MIN: usize = 2;
/// An upstream is heard if it has sent something within this time. Upstreams that are writing pause
/// for less.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// The time between two calls that are sent again while most upstreams are silent, to find some that
/// can answer.
const SHARED_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// How long an upstream is kept that is never heard again, and how long it counts as silent.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// Whether the call of a silent upstream is sent to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendDecision {
    /// Send the call to another upstream.
    Resend,
    /// Send the call to another upstream that [`SilenceTracker::can_take_over`].
    ResendToAble,
    /// Go on waiting for the silent upstream: most upstreams are silent, and the others could not
    /// take over all their calls.
    Hold {
        /// The number of silent upstreams of the service.
        silent: usize,
        /// The number of upstreams of the service that could take over calls.
        able: usize,
    },
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamSilence {
    /// When the upstream last sent something.
    heard_at: Option<Instant>,
    /// When the upstream was found to be silent; none if it has been heard since.
    silent_at: Option<Instant>,
}

impl UpstreamSilence {
    fn is_heard(&self, now: Instant) -> bool {
        is_within(self.heard_at, HEARD_WITHIN, now)
    }

    /// Whether the upstream has just sent something, or nothing for so long that it may be idle.
    fn can_take_over(&self, now: Instant) -> bool {
        let is_silent = is_within(self.silent_at, KEPT_FOR, now);
        let is_known = is_within(self.heard_at, KEPT_FOR, now);
        self.is_heard(now) || !(is_silent || is_known)
    }
}

/// The silences of the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceSilence {
    upstreams: IndexMap<UpstreamId, UpstreamSilence>,
    /// When a call was last sent again while most upstreams were silent.
    resent_at: Option<Instant>,
}

impl ServiceSilence {
    /// Drops the upstreams that were neither heard nor found to be silent for long.
    fn expire(&mut self, now: Instant) {
        self.upstreams.retain(|_, upstream| {
            is_within(upstream.heard_at, KEPT_FOR, now)
                || is_within(upstream.silent_at, KEPT_FOR, now)
        });
    }

    fn silent_count(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|upstream| is_within(upstream.silent_at, KEPT_FOR, now))
            .count()
    }

    fn heard_count(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|known| known.is_heard(now)).count()
    }

    /// The number of upstreams that cannot take over calls, as far as is known.
    fn unable_count(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|known| !known.can_take_over(now)).count()
    }
}

/// The silences of upstreams by service, as one host sees them.
#[derive(Debug, Default)]
pub struct SilenceTracker {
    services: IndexMap<ServiceId, ServiceSilence>,
}

impl SilenceTracker {
    /// Records that an upstream has sent something to a call.
    pub fn on_heard(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        let upstream = self.upstream(service, upstream, now);
        upstream.heard_at = Some(now);
        upstream.silent_at = None;
    }

    /// Records that an upstream has sent nothing to a call for far longer than the work takes.
    pub fn on_silent(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.upstream(service, upstream, now).silent_at = Some(now);
    }

    /// Records that an upstream was lost, and so is not just silent.
    pub fn on_lost(&mut self, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(silence) = self.services.get_mut(service) {
            silence.upstreams.swap_remove(upstream);
        }
    }

    /// Whether an upstream has just sent something, or nothing is known of it.
    pub fn can_take_over(&self, service: &ServiceId, upstream: &UpstreamId, now: Instant) -> bool {
        let silence = self.services.get(service);
        let known = silence.and_then(|silence| silence.upstreams.get(upstream));
        known.is_none_or(|known| known.can_take_over(now))
    }

    /// Decides whether the call of a silent upstream is sent to another one, and counts it as sent
    /// if so. `listed` is the number of upstreams of the service; `is_urgent` tells whether the
    /// caller will soon give up.
    pub fn try_resend(
        &mut self,
        service: &ServiceId,
        listed: usize,
        is_urgent: bool,
        now: Instant,
    ) -> ResendDecision {
        let Some(silence) = self.services.get_mut(service) else {
            return ResendDecision::Resend;
        };
        silence.expire(now);
        let silent = silence.silent_count(now);
        if silent < SHARED_UPSTREAMS_MIN {
            return ResendDecision::Resend;
        }
        let able = listed.saturating_sub(silence.unable_count(now));
        if silence.heard_count(now) > silent || (is_urgent && able > 0) {
            return ResendDecision::ResendToAble;
        }
        if is_within(silence.resent_at, SHARED_RESEND_INTERVAL, now) {
            return ResendDecision::Hold { silent, able };
        }
        silence.resent_at = Some(now);
        if able > 0 {
            ResendDecision::ResendToAble
        } else {
            ResendDecision::Resend
        }
    }

    fn upstream(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        now: Instant,
    ) -> &mut UpstreamSilence {
        if !self.services.contains_key(service) {
            let silence = ServiceSilence::default();
            self.services.insert(service.clone(), silence);
        }
        let silence = &mut self.services[service];
        if !silence.upstreams.contains_key(upstream) {
            // Upstreams that have ended are not recorded again under the same id.
            silence.expire(now);
            silence
                .upstreams
                .insert(upstream.clone(), UpstreamSilence::default());
        }
        &mut silence.upstreams[upstream]
    }
}

/// Whether `at` is less than `within` before `now`; false if there is no such time.
fn is_within(at: Option<Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < within)
}
