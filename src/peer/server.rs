//! Takes in the connections of other hosts.

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

/// Requests of one connection that are handled at once; beyond it the connection is not read, which
/// the sender sees as a full queue of its own.
const IN_FLIGHT_MAX: usize = 512;

/// Connections at once: two for each of 400 hosts, with room for those that are being replaced.
const CONNECTIONS_MAX: usize = 2_048;

/// Connections that have not authenticated yet. Without a bound of its own, strangers could use up
/// all connections.
const HANDSHAKES_MAX: usize = 128;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to read a reply before its connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// What `accept` waits after an error, such as no more file descriptors, which would repeat at
/// once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Replies<'a> = FuturesUnordered<BoxFuture<'a, (u64, Option<Message>)>>;

/// The server for other hosts: it hands each message to a [`PeerHandler`] and sends back its reply.
///
/// The messages of one connection reach the handler in order; its replies may leave in another.
/// A handler that waits is dropped when its connection ends.
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
    /// A server that knows itself as `host`. The nonces come from `rng`, which must be seeded by
    /// the system's random source outside of tests.
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

    /// Serves until `stop` is cancelled; then all connections are closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(_) = tasks.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, addr)) => self.spawn(&mut tasks, stream, addr),
                    Err(error) => {
                        log::warn!("peer: can't accept connections: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        tasks.shutdown().await;
    }

    fn spawn(self: &Arc<Self>, tasks: &mut JoinSet<()>, stream: TcpStream, addr: SocketAddr) {
        let permits = (
            Arc::clone(&self.connections).try_acquire_owned(),
            Arc::clone(&self.handshakes).try_acquire_owned(),
        );
        let (Ok(connection), Ok(handshake)) = permits else {
            self.traffic.count_refused();
            log::warn!("peer: too many connections, closed {addr}");
            return;
        };
        let server = Arc::clone(self);
        tasks.spawn(async move {
            let _connection = connection;
            server.connection(stream, addr, handshake).await;
        });
    }

    async fn connection(&self, stream: TcpStream, addr: SocketAddr, permit: OwnedSemaphorePermit) {
        let Some((peer, mut stream)) = self.authenticate(stream, addr).await else {
            self.traffic.count_refused();
            return;
        };
        drop(permit);
        match self.exchange(&peer, &mut stream).await {
            Ok(()) => log::debug!("peer: {peer} closed its connection"),
            Err(error) => log::warn!("peer: closed the connection of {peer}: {error}"),
        }
    }

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
            log::debug!("peer: {addr}: {error}");
        }
        let accepting = handshake::accept(stream, &self.host, &self.keys, &mut rng);
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, accepting).await {
            Ok(Ok(accepted)) => Some(accepted),
            Ok(Err(error)) => {
                log::warn!("peer: closed {addr}: {error}");
                None
            }
            Err(_) => {
                log::warn!("peer: closed {addr}: no handshake in time");
                None
            }
        }
    }

    async fn exchange(&self, peer: &HostId, stream: &mut PeerStream) -> Result<(), FrameError> {
        let mut replies = Replies::new();
        loop {
            tokio::select! {
                Some((call_id, reply)) = replies.next() => {
                    self.reply(stream, call_id, reply).await?;
                }
                read = stream.next(), if replies.len() < IN_FLIGHT_MAX => match read {
                    Some(envelope) => replies.push(self.handle(peer, envelope?)?),
                    None => return Ok(()),
                },
            }
        }
    }

    fn handle(
        &self,
        peer: &HostId,
        envelope: Envelope,
    ) -> Result<BoxFuture<'_, (u64, Option<Message>)>, FrameError> {
        if envelope.is_reply {
            return Err(FrameError::Unexpected("reply"));
        }
        // A kind that this version doesn't know decodes to none: the caller gets the plain reply,
        // so that neighbouring versions can be mixed while hosts are replaced.
        let call_id = envelope.call_id;
        let Some(message) = envelope.message else {
            return Ok(Box::pin(async move { (call_id, None) }));
        };
        let handling = self.handler.handle(peer.clone(), message);
        Ok(Box::pin(async move { (call_id, handling.await) }))
    }

    async fn reply(
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
