//! The port for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use log::warn;
use tokio::net::TcpListener;

use crate::gateway::DrainPhase;
use crate::gateway::Gateway;
use crate::gateway::handler::handle;
use crate::routing::CallerLimits;

/// The pause after the system refused a connection, mostly for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often the phase of stopping is looked at.
const PHASE_INTERVAL: Duration = Duration::from_millis(100);
/// hyper needs at least this much for a head.
const HEAD_BUFFER_MIN: usize = 8 << 10;

/// Serves callers until the host has finished or its time is up.
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_connection(&gateway, stream, &graceful),
                Err(err) => {
                    warn!("gateway: cannot accept: {err}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = until(&gateway, DrainPhase::Finishing) => break,
        }
    }
    tokio::select! {
        () = graceful.shutdown() => {}
        () = until(&gateway, DrainPhase::Over) => {}
    }
}

fn serve_connection(
    gateway: &Arc<Gateway>,
    stream: tokio::net::TcpStream,
    graceful: &GracefulShutdown,
) {
    if let Err(err) = stream.set_nodelay(true) {
        debug!("gateway: a connection closed at once: {err}");
        return;
    }
    let limits = gateway
        .beliefs
        .routes()
        .map_or_else(CallerLimits::default, |routes| routes.limits);
    let service_gateway = Arc::clone(gateway);
    let service = service_fn(move |req| {
        let gateway = Arc::clone(&service_gateway);
        async move { Ok::<_, Infallible>(handle(gateway, req).await) }
    });
    // hyper counts the time for a head from the end of the answer before it, so this bounds idle
    // connections as well. Twice the limit, since a manifest may raise it while connections live.
    let head_timeout = limits.idle_timeout * 2 + limits.head_timeout;
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size((limits.head_bytes * 2).max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let conn = graceful.watch(conn);
    tokio::spawn(async move {
        if let Err(err) = conn.await {
            debug!("gateway: a connection ended early: {err}");
        }
    });
}

/// Waits until stopping has come to a phase. A host that was not asked to stop waits without waking
/// up.
pub(crate) async fn until(gateway: &Gateway, phase: DrainPhase) {
    gateway.stop_begun().await;
    while gateway.phase() < phase {
        tokio::time::sleep(PHASE_INTERVAL).await;
    }
}
