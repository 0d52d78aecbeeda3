//! The server for callers.

use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
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

use crate::gateway::CallRefusal;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ResponseBody;
use crate::gateway::ShutdownPhase;
use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::caller_connection::Displacement;
use crate::gateway::caller_connections::ConnectionDecision;
use crate::gateway::caller_connections::OpenConnection;
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::handler::handle;
use crate::gateway::supervisor::panic_message;
use crate::routing::CallerLimits;

/// The pause after accepting a connection failed, in most cases for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The interval at which the phase of the shutdown is checked.
const PHASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum buffer that hyper requires for a head.
const HEAD_BUFFER_MIN: usize = 8 << 10;

/// Serves callers until a shutdown is requested and all requests have ended, or the grace period is
/// over.
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let refusing = wait_for_phase(&gateway, ShutdownPhase::Refusing);
    tokio::pin!(refusing);
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                let Some(conn) = open_connection(&gateway, stream) else {
                    continue;
                };
                // The phase may have changed since it was last checked. The end of the loop would
                // close this connection as idle.
                let CountedConnection { served, connection, open } = conn;
                if gateway.phase() >= ShutdownPhase::Refusing {
                    spawn(served, connection, open);
                } else {
                    spawn(graceful.watch(served), connection, open);
                }
            }
            () = &mut refusing => break,
        }
    }
    // The balancer may still send connections to this host. They are accepted and their requests
    // refused, since a connection that is not accepted would be reset together with its request.
    let refuse_rest = async {
        loop {
            if let Some(conn) = open_connection(&gateway, accept(&listener).await) {
                spawn(conn.served, conn.connection, conn.open);
            }
        }
    };
    tokio::select! {
        () = graceful.shutdown() => {}
        () = wait_for_phase(&gateway, ShutdownPhase::Expired) => {}
        () = refuse_rest => {}
    }
}

/// Accepts the next connection. Errors are logged, and accepting is tried again.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                warn!("gateway: cannot accept a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

type ServedConnection = http1::Connection<TokioIo<CallerStream>, CallerService>;

/// The service that handles the requests of one caller connection.
struct CallerService {
    gateway: Arc<Gateway>,
    connection: Arc<CallerConnection>,
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<ResponseBody>, Infallible>>;

    /// Handles every request as a call. Never fails, since refusals are responses, also after a panic.
    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let gateway = Arc::clone(&self.gateway);
        let connection = Arc::clone(&self.connection);
        connection.on_head();
        async move {
            let handled = AssertUnwindSafe(handle(Arc::clone(&gateway), &connection, req));
            let handled = handled.catch_unwind().await;
            connection.on_answered();
            Ok(match handled {
                Ok(res) => res,
                Err(panic) => {
                    let error = panic_message(panic.as_ref());
                    log::error!("gateway: the handler of a request panicked: {error}");
                    gateway.metrics.record_task_panic("request");
                    CallRefusal::OutcomeUnknown.response()
                }
            })
        }
        .boxed()
    }
}

/// A connection that is counted as open, to be served.
struct CountedConnection {
    served: ServedConnection,
    connection: Arc<CallerConnection>,
    open: OpenConnection,
}

/// Prepares serving a new connection, and counts it as open. None if too many are open or the caller
/// has closed it already.
fn open_connection(gateway: &Arc<Gateway>, stream: TcpStream) -> Option<CountedConnection> {
    let max = gateway.conf.caller_connections_max;
    let clock = Arc::clone(&gateway.clock);
    let now = clock.now();
    let connection = Arc::new(CallerConnection::new(clock, gateway.held_bytes.clone()));
    let connections = &gateway.caller_connections;
    match connections.on_accepted(&connection, max, now) {
        ConnectionDecision::Serve(open) => Some(CountedConnection {
            served: serve_connection(gateway, stream, &connection)?,
            connection,
            open,
        }),
        ConnectionDecision::Close { is_first } => {
            gateway.metrics.record_connection_closed();
            if is_first {
                let open = gateway.caller_connections.open();
                gateway
                    .log
                    .record(DecisionEvent::ConnectionsFull { open, max });
            }
            None
        }
    }
}

/// Prepares serving a connection; none if the caller has closed it already.
fn serve_connection(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    connection: &Arc<CallerConnection>,
) -> Option<ServedConnection> {
    if let Err(err) = stream.set_nodelay(true) {
        debug!("gateway: connection closed right after it was accepted: {err}");
        return None;
    }
    let limits = gateway
        .platform_view
        .routes()
        .map_or_else(CallerLimits::default, |routes| routes.limits);
    // hyper starts the timeout for a head at the end of the previous response, so this also bounds
    // idle connections. The limits are doubled because a manifest may raise them during a
    // connection.
    let head_timeout = limits.idle_timeout * 2 + limits.head_timeout;
    let stream = CallerStream::new(stream, Arc::clone(connection));
    let service = CallerService {
        gateway: Arc::clone(gateway),
        connection: Arc::clone(connection),
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size((limits.head_bytes * 2).max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    Some(conn)
}

/// Serves a connection in a task of its own, until it ends or gives way to another one.
fn spawn(
    served: impl Future<Output = Result<(), hyper::Error>> + Send + 'static,
    connection: Arc<CallerConnection>,
    open: OpenConnection,
) {
    tokio::spawn(async move {
        let _open = open;
        tokio::select! {
            served = served => {
                if let Err(err) = served {
                    debug!("gateway: connection ended early: {err}");
                }
            }
            () = connection.displaced(Displacement::Close) => {}
        }
    });
}

/// Waits until the shutdown has reached `phase`. Does not wake up before a shutdown is requested.
pub(crate) async fn wait_for_phase(gateway: &Gateway, phase: ShutdownPhase) {
    gateway.shutdown_requested().await;
    while gateway.phase() < phase {
        tokio::time::sleep(PHASE_CHECK_INTERVAL).await;
    }
}
