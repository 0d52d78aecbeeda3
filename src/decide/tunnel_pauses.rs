//! Which hosts are not asked for a tunnel for a while.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::HostId;
use crate::units::UpstreamId;

/// How long a host is not asked for an upstream that it does not reach.
const PATH_PAUSE: Duration = Duration::from_secs(1);
/// How long a host is not asked that is busy, stopping or gone.
const HOST_PAUSE: Duration = Duration::from_secs(1);
/// How long a host is not asked that reaches no upstream.
const ISOLATED_PAUSE: Duration = Duration::from_secs(3);

/// The pause of one host.
#[derive(Clone, Debug, Default)]
struct HostPause {
    /// When the pause for all upstreams ends.
    until: Option<Instant>,
    /// When the pauses for single upstreams end.
    paths_until: IndexMap<UpstreamId, Instant>,
}

impl HostPause {
    fn is_over(&self, now: Instant) -> bool {
        let mut pauses = self.until.iter().chain(self.paths_until.values());
        pauses.all(|until| *until <= now)
    }
}

/// The hosts that could not provide a tunnel, and until when they are not asked again.
#[derive(Clone, Debug, Default)]
pub struct TunnelPauses {
    hosts: IndexMap<HostId, HostPause>,
}

impl TunnelPauses {
    /// Records that a host provides no tunnels now.
    pub fn on_host_failed(&mut self, host: &HostId, now: Instant) {
        let until = &mut self.pause(host, now).until;
        *until = (*until).max(Some(now + HOST_PAUSE));
    }

    /// Records that a host reaches no upstream itself.
    pub fn on_host_isolated(&mut self, host: &HostId, now: Instant) {
        self.pause(host, now).until = Some(now + ISOLATED_PAUSE);
    }

    /// Records that a host does not reach this upstream itself.
    pub fn on_path_missing(&mut self, host: &HostId, upstream: &UpstreamId, now: Instant) {
        let paths = &mut self.pause(host, now).paths_until;
        paths.insert(upstream.clone(), now + PATH_PAUSE);
    }

    /// Whether a host may be asked for a tunnel to this upstream.
    pub fn may_ask(&self, host: &HostId, upstream: &UpstreamId, now: Instant) -> bool {
        let Some(pause) = self.hosts.get(host) else {
            return true;
        };
        let path_until = pause.paths_until.get(upstream).copied();
        pause.until.max(path_until).is_none_or(|until| until <= now)
    }

    /// The pause of a host, created if there is none. Drops those that are over.
    fn pause(&mut self, host: &HostId, now: Instant) -> &mut HostPause {
        self.hosts.retain(|_, pause| !pause.is_over(now));
        let pause = self.hosts.entry(host.clone()).or_default();
        pause.paths_until.retain(|_, until| *until > now);
        pause
    }
}
