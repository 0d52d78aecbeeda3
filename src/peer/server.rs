//! The server for the connections of other hosts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::peer::FrameError;
use crate::peer::Keyring;
use crate::peer::Message;
use crate::peer::PeerHandler;
use crate::peer::Traffic;
use crate::peer::handshake;
use crate::peer::handshake::PeerStream;
use crate::peer::message::Envelope;
use crate::units::HostId;

/// The largest number of messages of one connection that are handled at once. At this number the
/// connection is not read, so that the queue of a sender that sends faster fills up.
const IN_FLIGHT_MAX: usize = 512;

/// The largest number of open connections: two for each of 400 hosts, with spare ones for
/// connections that are being replaced.
const CONNECTIONS_MAX: usize = 2_048;

/// The largest number of connections that have not been authenticated yet. Without this limit
/// unauthenticated clients could use up all connections.
const HANDSHAKES_MAX: usize = 128;

/// How long a client may take for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the write of a reply may take, if the peer does not read, before the connection is
/// closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a failed `accept`. An error such as a lack of file descriptors would otherwise
/// repeat at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The messages of one connection that are being handled, each with its call id.
type Replies<'a> = FuturesUnordered<BoxFuture<'a, (u64, Option<Message>)>>;

/// The server for the connections of other hosts. It passes each message to a [`PeerHandler`], and
/// sends back the reply.
///
/// The messages of one connection reach the handler in order; the replies may be sent in another
/// order. The future of a handler is dropped when its connection ends.
pub struct PeerServer {
    host: HostId,
    keys: Keyring,
    handler: Arc<dyn PeerHandler>,
    traffic: Arc<Traffic>,
    rng: Mutex<StdRng>,
    connections: Arc<Semaphore>,
    handshakes: Arc<Semaphore>,
}

impl PeerServer {
    /// A server that authenticates itself as `host`. The nonces of handshakes come from `rng`,
    /// which must be seeded from the random source of the operating system except in tests.
    pub fn new(
        host: HostId,
        keys: Keyring,
        handler: Arc<dyn PeerHandler>,
        traffic: Arc<Traffic>,
        rng: StdRng,
    ) -> Self {
        Self {
            host,
            keys,
            handler,
            traffic,
            rng: Mutex::new(rng),
            connections: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            handshakes: Arc::new(Semaphore::new(HANDSHAKES_MAX)),
        }
    }

    /// Serves until `stop` is cancelled, and closes all connections then.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = tasks.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, addr)) => self.spawn_connection(&mut tasks, stream, addr),
                    Err(error) => {
                        log::warn!("peer: can't accept connections: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        tasks.shutdown().await;
    }

    /// Serves a connection in a task of its own, or closes it if there are too many.
    fn spawn_connection(
        self: &Arc<Self>,
        tasks: &mut JoinSet<()>,
        stream: TcpStream,
        addr: SocketAddr,
    ) {
        let permits = (
            Arc::clone(&self.connections).try_acquire_owned(),
            Arc::clone(&self.handshakes).try_acquire_owned(),
        );
        let (Ok(connection), Ok(handshake)) = permits else {
            self.traffic.count_refused();
            log::warn!("peer: closed connection from {addr}: too many connections");
            return;
        };
        let server = Arc::clone(self);
        tasks.spawn(async move {
            let _connection = connection;
            server.serve_connection(stream, addr, handshake).await;
        });
    }

    /// Authenticates a connection, and serves it until it ends. Releases `permit`, the permit of
    /// the handshake, once the peer is authenticated.
    async fn serve_connection(
        &self,
        stream: TcpStream,
        addr: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        let Some((peer, mut stream)) = self.authenticate(stream, addr).await else {
            self.traffic.count_refused();
            return;
        };
        drop(permit);
        match self.handle_messages(&peer, &mut stream).await {
            Ok(()) => log::debug!("peer: {peer} closed its connection"),
            Err(error) => log::warn!("peer: closed connection from {peer}: {error}"),
        }
    }

    /// Runs the handshake; none if it fails or takes too long.
    async fn authenticate(
        &self,
        stream: TcpStream,
        addr: SocketAddr,
    ) -> Option<(HostId, PeerStream)> {
        let mut rng = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            StdRng::from_rng(&mut *rng)
        };
        let no_delay = stream.set_nodelay(true);
        if let Err(error) = no_delay {
            log::debug!("peer: can't set TCP_NODELAY for {addr}: {error}");
        }
        let accepting = handshake::accept(stream, &self.host, &self.keys, &mut rng);
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, accepting).await {
            Ok(Ok(accepted)) => Some(accepted),
            Ok(Err(error)) => {
                log::warn!("peer: closed connection from {addr}: {error}");
                None
            }
            Err(_) => {
                log::warn!("peer: closed connection from {addr}: handshake timed out");
                None
            }
        }
    }

    /// Handles the messages of a connection and sends the replies, until the peer closes the
    /// connection.
    async fn handle_messages(
        &self,
        peer: &HostId,
        stream: &mut PeerStream,
    ) -> Result<(), FrameError> {
        let mut replies = Replies::new();
        loop {
            tokio::select! {
                Some((call_id, reply)) = replies.next() => {
                    self.send_reply(stream, call_id, reply).await?;
                }
                read = stream.next(), if replies.len() < IN_FLIGHT_MAX => match read {
                    Some(envelope) => replies.push(self.handle(peer, envelope?)?),
                    None => return Ok(()),
                },
            }
        }
    }

    /// Passes a message to the handler, and returns the future of its reply.
    fn handle(
        &self,
        peer: &HostId,
        envelope: Envelope,
    ) -> Result<BoxFuture<'_, (u64, Option<Message>)>, FrameError> {
        if envelope.is_reply {
            return Err(FrameError::Unexpected("reply"));
        }
        // A message of a kind that this version does not know is decoded as none. It gets an
        // acknowledgement, so that hosts of neighbouring versions work together during an upgrade.
        let call_id = envelope.call_id;
        let Some(message) = envelope.message else {
            return Ok(Box::pin(async move { (call_id, None) }));
        };
        let handling = self.handler.handle(peer.clone(), message);
        Ok(Box::pin(async move { (call_id, handling.await) }))
    }

    /// Sends a reply, unless the sender expects none or the limit of control traffic is reached.
    async fn send_reply(
        &self,
        stream: &mut PeerStream,
        call_id: u64,
        reply: Option<Message>,
    ) -> Result<(), FrameError> {
        if call_id == 0 {
            return Ok(());
        }
        let envelope = Envelope {
            from: String::new(),
            call_id,
            is_reply: true,
            message: Some(reply.unwrap_or(Message::Ack(()))),
        };
        if !self.traffic.admit(&envelope) {
            return Ok(());
        }
        let sent = tokio::time::timeout(WRITE_TIMEOUT, stream.send(envelope)).await;
        sent.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}
