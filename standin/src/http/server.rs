//! HTTP server that can be closed at any time, as if its process had crashed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::http::Reply;

/// Handler of the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; an error closes the connection without a response.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply>;
}

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    open: watch::Sender<bool>,
}

impl Server {
    /// Binds `listen` and serves on the current runtime.
    pub async fn start(listen: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (open, is_open) = watch::channel(true);
        tokio::spawn(accept_all(listener, handler, is_open));
        Ok(Self { addr, open })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    /// Waits until the server is closed.
    pub async fn closed(&self) {
        let mut is_open = self.open.subscribe();
        let _ = is_open.wait_for(|open| !open).await;
    }
}

async fn accept_all(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut is_open: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_open.wait_for(|open| !open) => return,
        };
        if let Ok((conn, _)) = accepted {
            let _ = conn.set_nodelay(true);
            tokio::spawn(serve(conn, Arc::clone(&handler), is_open.clone()));
        }
    }
}

async fn serve(conn: TcpStream, handler: Arc<dyn Handler>, mut is_open: watch::Receiver<bool>) {
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(conn), service);
    tokio::select! {
        _ = served => (),
        _ = is_open.wait_for(|open| !open) => (),
    }
}
