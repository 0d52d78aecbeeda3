//! The rate limits of the upstreams as they apply to one choice of an upstream.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::LimitState;
use crate::decide::RateLimitView;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::RateLimitRecord;
use crate::units::UpstreamId;
use crate::units::seconds;

/// An upstream's rate limit and when this host may send to it.
#[derive(Clone, Copy, Debug)]
struct LimitedUpstream {
    view: RateLimitView,
    /// Time until this host admits one more request to the upstream; zero if it admits one now.
    opens_in: Duration,
}

/// The upstreams of one choice that advertise a rate limit, usually none, with the state of their
/// limits.
#[derive(Debug, Default)]
pub(crate) struct LimitStates(IndexMap<UpstreamId, LimitedUpstream>);

impl LimitStates {
    /// The states of the rate limits of `upstreams` at `now`.
    pub(crate) fn of(gateway: &Gateway, upstreams: &[&ListedUpstream], now: Instant) -> Self {
        if !gateway.rate_limits.has_any_limit(upstreams, now) {
            return Self::default();
        }
        let coverage = gateway.hosts_heard(now);
        let mut tracker = gateway.rate_limits.tracker();
        tracker.set_hosts(coverage, gateway.send_visibility_delay());
        let limited = upstreams.iter().filter_map(|upstream| {
            let view = tracker.view(&upstream.id, now)?;
            let opens_in = view.opens_in();
            Some((upstream.id.clone(), LimitedUpstream { view, opens_in }))
        });
        Self(limited.collect())
    }

    /// Whether this host may send to the upstream now according to its rate limit.
    pub(crate) fn state(&self, upstream: &UpstreamId) -> LimitState {
        match self.0.get(upstream) {
            None => LimitState::Unlimited,
            Some(limited) if limited.opens_in.is_zero() => LimitState::Open,
            Some(_) => LimitState::Exhausted,
        }
    }

    /// Whether the upstream has no rate limit or one that this host has not exhausted.
    pub(crate) fn is_open(&self, upstream: &UpstreamId) -> bool {
        self.state(upstream) != LimitState::Exhausted
    }

    /// The time until this host may send to the first of these upstreams again if the limits of all
    /// are exhausted; none if one is not, or if none has a limit.
    pub(crate) fn exhausted_for(&self, upstreams: &[&ListedUpstream]) -> Option<Duration> {
        if self.0.is_empty() || upstreams.iter().any(|upstream| self.is_open(&upstream.id)) {
            return None;
        }
        self.0.values().map(|limited| limited.opens_in).min()
    }

    /// Whether this host admits one more request to the upstream that it has chosen, which is
    /// partly random. If not, the upstream counts as exhausted for the rest of this choice.
    pub(crate) fn admits(&mut self, upstream: &UpstreamId) -> bool {
        let Some(limited) = self.0.get_mut(upstream) else {
            return true;
        };
        let is_admitted = limited.view.admits(rand::random());
        if !is_admitted {
            limited.opens_in = limited.view.update_age_max;
        }
        is_admitted
    }

    /// The record of an upstream's limit for the decision log; none if it has no limit.
    pub(crate) fn record(&self, upstream: &UpstreamId) -> Option<RateLimitRecord> {
        let limited = self.0.get(upstream)?;
        Some(RateLimitRecord::from(&limited.view))
    }

    /// The time until this many calls are admitted by this host's share of all these limits.
    pub(crate) fn time_to_admit(&self, calls: u32) -> Duration {
        let per_s: f64 = self
            .0
            .values()
            .map(|limited| limited.view.host_share_per_s())
            .sum();
        seconds(f64::from(calls) / per_s)
    }
}
