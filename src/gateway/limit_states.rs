//! The rate limits of the upstreams as they apply to one choice.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::LimitState;
use crate::decide::RateLimitView;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::gateway::RateLimitRecord;
use crate::units::UpstreamId;

#[derive(Clone, Copy, Debug)]
struct LimitedUpstream {
    view: RateLimitView,
    /// Time until this host admits one more request to the upstream; zero if it admits one now.
    opens_in: Duration,
}

/// The upstreams of one choice that advertise a rate limit; usually none.
#[derive(Debug, Default)]
pub(crate) struct LimitStates(IndexMap<UpstreamId, LimitedUpstream>);

impl LimitStates {
    /// The limits of these upstreams at `now`.
    pub(crate) fn of(gateway: &Gateway, upstreams: &[&ListedUpstream], now: Instant) -> Self {
        if !gateway.rate_limits.has_any_limit(upstreams) {
            return Self::default();
        }
        let hosts = gateway.hosts_heard(now);
        let mut book = gateway.rate_limits.tracker();
        book.set_hosts(hosts, gateway.send_visibility_delay());
        let limited = upstreams.iter().filter_map(|upstream| {
            let view = book.view(&upstream.id, now)?;
            let opens_in = view.opens_in();
            Some((upstream.id.clone(), LimitedUpstream { view, opens_in }))
        });
        Self(limited.collect())
    }

    pub(crate) fn state(&self, upstream: &UpstreamId) -> LimitState {
        match self.0.get(upstream) {
            None => LimitState::Unlimited,
            Some(limited) if limited.opens_in.is_zero() => LimitState::Open,
            Some(_) => LimitState::Exhausted,
        }
    }

    pub(crate) fn is_open(&self, upstream: &UpstreamId) -> bool {
        self.state(upstream) != LimitState::Exhausted
    }

    /// How long all of these upstreams are exhausted; none if one is not, or if none has a limit.
    pub(crate) fn exhausted_for(&self, upstreams: &[&ListedUpstream]) -> Option<Duration> {
        if self.0.is_empty() || upstreams.iter().any(|upstream| self.is_open(&upstream.id)) {
            return None;
        }
        self.0.values().map(|limited| limited.opens_in).min()
    }

    /// Whether this host admits one more request to the upstream that it has chosen. If not, the
    /// upstream counts as exhausted for the rest of this choice.
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

    /// The record of an upstream's limit for the decision log.
    pub(crate) fn record(&self, upstream: &UpstreamId) -> Option<RateLimitRecord> {
        let limited = self.0.get(upstream)?;
        Some(RateLimitRecord::from(&limited.view))
    }

    /// The time that this host's share of all these limits takes to admit this many calls.
    pub(crate) fn time_to_admit(&self, calls: u32) -> Duration {
        let per_s: f64 = self
            .0
            .values()
            .map(|limited| limited.view.host_share_per_s())
            .sum();
        let time = Duration::try_from_secs_f64(f64::from(calls) / per_s);
        time.unwrap_or(Duration::MAX)
    }
}
