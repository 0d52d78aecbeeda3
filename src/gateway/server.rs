//! The port for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway::AnswerBody;
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
    let finishing = until(&gateway, DrainPhase::Finishing);
    tokio::pin!(finishing);
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                if let Some(conn) = connection(&gateway, stream) {
                    spawn(graceful.watch(conn));
                }
            }
            () = &mut finishing => break,
        }
    }
    // The balancer may still send connections here. They are taken and turned away, for one that
    // nobody takes would be reset with its request in it.
    let rest = async {
        loop {
            if let Some(conn) = connection(&gateway, accept(&listener).await) {
                spawn(conn);
            }
        }
    };
    tokio::select! {
        () = graceful.shutdown() => {}
        () = until(&gateway, DrainPhase::Over) => {}
        () = rest => {}
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                warn!("gateway: cannot accept: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

type Conn = http1::Connection<TokioIo<TcpStream>, CallerService>;

/// Answers the requests of one connection.
struct CallerService(Arc<Gateway>);

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<AnswerBody>, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        handle(Arc::clone(&self.0), req).map(Ok).boxed()
    }
}

fn connection(gateway: &Arc<Gateway>, stream: TcpStream) -> Option<Conn> {
    if let Err(err) = stream.set_nodelay(true) {
        debug!("gateway: a connection closed at once: {err}");
        return None;
    }
    let limits = gateway
        .platform_view
        .routes()
        .map_or_else(CallerLimits::default, |routes| routes.limits);
    // hyper counts the time for a head from the end of the answer before it, so this bounds idle
    // connections as well. Twice the limit, since a manifest may raise it while connections live.
    let head_timeout = limits.idle_timeout * 2 + limits.head_timeout;
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size((limits.head_bytes * 2).max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), CallerService(Arc::clone(gateway)));
    Some(conn)
}

fn spawn(conn: impl Future<Output = Result<(), hyper::Error>> + Send + 'static) {
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
