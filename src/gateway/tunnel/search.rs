//! Connects to an upstream through another host.

use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use crate::decide::TunnelAnswer;
use crate::decide::TunnelHost;
use crate::decide::TunnelSearch;
use crate::decide::TunnelStep;
use crate::exchange::ListedHost;
use crate::gateway::Gateway;
use crate::gateway::tunnel::TunnelError;
use crate::gateway::tunnel::TunnelOutcome;
use crate::gateway::tunnel::TunnelStatus;
use crate::gateway::tunnel::open_tunnel;
use crate::gateway::upstream_connection::UpstreamConnection;
use crate::gateway::upstream_path::UpstreamPath;
use crate::http::BoxedByteStream;
use crate::units::HostId;
use crate::units::UpstreamId;

/// The time after which one more host is asked if none has answered. A host that has lost its own
/// paths may take as long as a connection may take.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(20);

/// The answer of a host that was asked for a tunnel.
struct HostAnswer {
    host: HostId,
    opened: Result<(BoxedByteStream, TunnelStatus), TunnelError>,
}

impl Gateway {
    /// Connects to an upstream through one of the hosts that may reach it; none if no host does.
    /// Hosts are asked one after the other, and beside each other if they take long; the first
    /// tunnel is used.
    pub(crate) async fn connect_through_host(
        &self,
        upstream: &UpstreamId,
        search: &mut TunnelSearch,
    ) -> Option<UpstreamConnection> {
        let listed = self.platform_view.hosts();
        let mut answers = FuturesUnordered::new();
        loop {
            let now = self.clock.now();
            let hosts = self.tunnel_hosts(&listed, upstream, now);
            let is_asking = match search.next_step(&hosts, rand::random()) {
                TunnelStep::Ask(host) => {
                    search.on_asked(&host);
                    let addr = listed.iter().find(|listed| listed.host == *host.host);
                    answers.extend(addr.map(|listed| self.request_tunnel(listed, upstream)));
                    true
                }
                TunnelStep::AwaitAnswers => false,
                TunnelStep::GiveUp => return None,
            };
            let answer = tokio::select! {
                Some(answer) = answers.next() => answer,
                () = sleep(NEXT_HOST_DELAY), if is_asking => continue,
                else => return None,
            };
            match answer.opened {
                Ok((stream, status)) => {
                    self.pause_outrun_hosts(search, &answer.host);
                    return Some(UpstreamConnection {
                        stream,
                        path: UpstreamPath::Tunnel {
                            via: answer.host,
                            status,
                        },
                    });
                }
                Err(err) => self.on_tunnel_refused(upstream, search, &answer.host, &err),
            }
        }
    }

    /// Asks a host for a tunnel, and counts its answer.
    async fn request_tunnel(&self, listed: &ListedHost, upstream: &UpstreamId) -> HostAnswer {
        let opened = open_tunnel(listed.exchange_addr, upstream).await;
        let outcome = opened.as_ref().err().map(TunnelError::name);
        let outcome = outcome.unwrap_or(TunnelOutcome::Connected.name());
        self.metrics.record_tunnel("requested", outcome);
        HostAnswer {
            host: listed.host.clone(),
            opened,
        }
    }

    /// Records that a host provides no tunnel, and what this says about the upstream and the host.
    fn on_tunnel_refused(
        &self,
        upstream: &UpstreamId,
        search: &mut TunnelSearch,
        host: &HostId,
        err: &TunnelError,
    ) {
        let answer = match err {
            TunnelError::Refused(TunnelOutcome::Unreachable) => TunnelAnswer::Unreachable,
            _ => TunnelAnswer::Declined(err.to_string()),
        };
        search.on_answer(host, answer);
        let now = self.clock.now();
        let mut paths = self.paths();
        let pauses = paths.tunnel_pauses();
        match err {
            TunnelError::Refused(TunnelOutcome::Unreachable) => {}
            TunnelError::Refused(TunnelOutcome::NoPath | TunnelOutcome::Unavailable) => {
                pauses.on_path_missing(host, upstream, now);
            }
            TunnelError::Refused(TunnelOutcome::Isolated) => pauses.on_host_isolated(host, now),
            TunnelError::Refused(_) | TunnelError::HostFailed(_) => {
                pauses.on_host_failed(host, now);
            }
        }
    }

    /// Leaves hosts out for a while that were asked before `provider`, and found the upstream
    /// unreachable or have not answered: they have lost their paths without knowing it.
    fn pause_outrun_hosts(&self, search: &TunnelSearch, provider: &HostId) {
        let now = self.clock.now();
        let mut paths = self.paths();
        let earlier = search.asked().iter();
        let earlier = earlier.take_while(|asked| asked.host != *provider);
        for asked in earlier.filter(|asked| asked.answer.is_none() || asked.is_unreachable()) {
            paths.tunnel_pauses().on_host_failed(&asked.host, now);
        }
    }

    /// The other hosts that this one hears.
    fn tunnel_hosts<'a>(
        &'a self,
        listed: &'a [ListedHost],
        upstream: &UpstreamId,
        now: Instant,
    ) -> Vec<TunnelHost<'a>> {
        let heard: Vec<&ListedHost> = self.heard_hosts(listed, now).collect();
        let mut paths = self.paths();
        let pauses = paths.tunnel_pauses();
        let others = heard
            .into_iter()
            .filter(|listed| listed.host != self.conf.host);
        let hosts = others.map(|listed| TunnelHost {
            host: &listed.host,
            domain: &listed.domain,
            weight: listed.processors.map_or(1, |cpu| cpu.0),
            is_paused: !pauses.may_ask(&listed.host, upstream, now),
        });
        hosts.collect()
    }
}
