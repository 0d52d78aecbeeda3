//! Connections to upstreams, directly or through another host.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::decide::DirectPath;
use crate::decide::TunnelSearch;
use crate::gateway::ConnectError;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::UpstreamConnector;
use crate::gateway::send::CONNECT_TIMEOUT;
use crate::gateway::upstream_path::UpstreamPath;
use crate::http::BoxedByteStream;
use crate::http::one_shot;
use crate::http::one_shot::OneShotError;
use crate::units::HostId;
use crate::units::UpstreamId;

/// The time after which other hosts are asked while a direct connection is still being established.
/// A sound upstream inside a site accepts within a few milliseconds.
const TUNNEL_DELAY: Duration = Duration::from_millis(60);
/// How long the answers of other hosts are awaited after a direct connection has failed. For an
/// upstream that is down the call goes on to another one after this time.
const TUNNEL_GRACE: Duration = Duration::from_millis(60);
/// The same while this host reaches no upstream itself: there is no better way than a tunnel.
const ISOLATED_TUNNEL_GRACE: Duration = Duration::from_millis(250);

/// A connection to an upstream.
pub(crate) struct UpstreamConnection {
    pub(crate) stream: BoxedByteStream,
    pub(crate) path: UpstreamPath,
}

impl UpstreamConnection {
    fn direct(stream: TcpStream) -> Self {
        Self {
            stream: Box::new(stream),
            path: UpstreamPath::Direct,
        }
    }
}

impl UpstreamConnector for Gateway {
    fn connect<'a>(
        &'a self,
        upstream: &'a UpstreamId,
        addr: SocketAddr,
    ) -> BoxFuture<'a, Result<BoxedByteStream, OneShotError>> {
        async move {
            let connected = self.connect_upstream(upstream, addr, CONNECT_TIMEOUT).await;
            Ok(connected.map_err(|err| err.direct)?.stream)
        }
        .boxed()
    }
}

impl Gateway {
    /// Connects to an upstream: directly unless that path is lost, otherwise through another host.
    /// An error means that other hosts do not reach the upstream either, as far as this one can find
    /// out in time.
    pub(crate) async fn connect_upstream(
        &self,
        upstream: &UpstreamId,
        addr: SocketAddr,
        direct_timeout: Duration,
    ) -> Result<UpstreamConnection, ConnectError> {
        let path = self.paths().direct_path(upstream, self.clock.now());
        let mut search = TunnelSearch::new(self.conf.domain.clone());
        let direct = one_shot::connect(addr, direct_timeout);
        let connected = match path {
            DirectPath::Usable => {
                let tunnel = self.connect_through_host(upstream, &mut search);
                connect_by_either(direct, tunnel, TUNNEL_DELAY, TUNNEL_GRACE).await
            }
            DirectPath::InDoubt => {
                let tunnel = self.connect_through_host(upstream, &mut search);
                connect_by_either(direct, tunnel, Duration::ZERO, ISOLATED_TUNNEL_GRACE).await
            }
            DirectPath::Lost => match self.connect_through_host(upstream, &mut search).await {
                // The direct path is probed apart from calls.
                Some(connection) => return Ok(connection),
                None => direct.await.map(UpstreamConnection::direct),
            },
        };
        self.on_connect_ended(upstream, connected, &search)
    }

    /// Records what a connection, or the lack of one, says about the direct path.
    fn on_connect_ended(
        &self,
        upstream: &UpstreamId,
        connected: Result<UpstreamConnection, OneShotError>,
        search: &TunnelSearch,
    ) -> Result<UpstreamConnection, ConnectError> {
        match connected {
            Ok(connection) => {
                match connection.path.via() {
                    None => self.on_path_connected(upstream),
                    Some(via) => self.on_path_bypassed(upstream, via),
                }
                Ok(connection)
            }
            Err(direct) => {
                let now = self.clock.now();
                let mut paths = self.paths();
                paths.on_failed(upstream, now);
                Err(ConnectError {
                    direct,
                    asked: search.asked().to_vec(),
                    is_inconclusive: paths.is_isolated(now) && !search.is_unreachable(),
                })
            }
        }
    }

    /// Records that a direct connection was established.
    pub(crate) fn on_path_connected(&self, upstream: &UpstreamId) {
        if self.paths().on_connected(upstream, self.clock.now()) {
            self.log.record(DecisionEvent::PathRegained {
                upstream: upstream.to_string(),
            });
        }
    }

    /// Records that another host connected, and a direct connection failed or took long.
    fn on_path_bypassed(&self, upstream: &UpstreamId, via: &HostId) {
        if self.paths().on_bypassed(upstream, self.clock.now()) {
            self.log_path_lost(upstream, Some(via));
        }
        self.health_changed.notify_one();
    }

    /// Records that a probe of a direct path failed.
    pub(crate) fn on_path_probe_failed(&self, upstream: &UpstreamId) {
        if self.paths().on_probe_failed(upstream, self.clock.now()) {
            self.log_path_lost(upstream, None);
        }
    }

    fn log_path_lost(&self, upstream: &UpstreamId, reached_by: Option<&HostId>) {
        self.log.record(DecisionEvent::PathLost {
            upstream: upstream.to_string(),
            reached_by: reached_by.map(ToString::to_string),
        });
    }
}

/// Waits for a direct connection, and asks other hosts when it fails, or takes longer than `delay`.
/// Returns the first connection that is established. Once the direct one has failed, a tunnel is
/// awaited for `grace` at most.
async fn connect_by_either(
    direct: impl Future<Output = Result<TcpStream, OneShotError>>,
    tunnel: impl Future<Output = Option<UpstreamConnection>>,
    delay: Duration,
    grace: Duration,
) -> Result<UpstreamConnection, OneShotError> {
    let mut direct = pin!(direct);
    let mut tunnel = pin!(tunnel);
    let early = timeout(delay, direct.as_mut()).await;
    let err = match early {
        Ok(Ok(stream)) => return Ok(UpstreamConnection::direct(stream)),
        Ok(Err(err)) => err,
        Err(_) => tokio::select! {
            connected = direct.as_mut() => match connected {
                Ok(stream) => return Ok(UpstreamConnection::direct(stream)),
                Err(err) => err,
            },
            tunneled = tunnel.as_mut() => {
                return match tunneled {
                    Some(connection) => Ok(connection),
                    None => direct.await.map(UpstreamConnection::direct),
                };
            }
        },
    };
    let tunneled = timeout(grace, tunnel).await;
    tunneled.ok().flatten().ok_or(err)
}
