//! The link to one other host: its connection, which is reopened when it breaks.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::peer::FrameError;
use crate::peer::Message;
use crate::peer::PeerError;
use crate::peer::handshake;
use crate::peer::handshake::PeerStream;
use crate::peer::message::Envelope;
use crate::peer::pool::PoolShared;
use crate::units::BoundedTime;
use crate::units::HostId;

/// The timeout for opening a connection, including the handshake. It is ample for a few round trips
/// inside a site, and short compared with the timeouts of callers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a write may take, if the peer does not read, before the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may send no reply while requests are pending, before the connection is closed.
/// Such a peer is unreachable or frozen. After a network partition heals, TCP retransmits on the
/// old connection only at ever longer intervals, so that requests would fail for minutes; a new
/// connection works at once.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection may be unused before it is closed, so that hosts which rarely exchange
/// messages keep no connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The pause after the first failed attempt to connect, before jitter. It doubles with each further
/// failure.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest pause after a failed attempt to connect, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// The number of pending requests at which those whose callers have given up are removed.
const PENDING_SWEEP_LEN: usize = 4_096;

/// The channel on which the caller of a request gets the reply.
type ReplySender = oneshot::Sender<Result<Message, PeerError>>;

/// A message to be sent, with the channel of its reply if one is expected.
pub(crate) struct OutgoingMessage {
    pub(crate) message: Message,
    pub(crate) reply: Option<ReplySender>,
}

impl OutgoingMessage {
    /// Returns an error to the caller, if the caller expects a reply.
    fn fail(self, error: PeerError) {
        if let Some(reply) = self.reply {
            // The caller may have given up already.
            let _ = reply.send(Err(error));
        }
    }
}

/// The task that sends the messages of a pool to one host.
pub(crate) struct Link {
    shared: Arc<PoolShared>,
    peer: HostId,
    outgoing: mpsc::Receiver<OutgoingMessage>,
    rng: StdRng,
    backoff: Duration,
}

/// Why an open connection was closed.
enum CloseReason {
    /// The connection was not used for [`IDLE_TIMEOUT`].
    Idle,
    /// The pool has dropped the link.
    LinkDropped,
    /// A read or a write failed or timed out, or the peer stalled.
    Broken(FrameError),
}

/// The requests on one connection that wait for their replies.
struct PendingRequests {
    replies: IndexMap<u64, ReplySender>,
    next_call_id: u64,
    /// The time since which the peer has sent nothing: when the last reply came, or when the first
    /// of the pending requests was sent; none if no request is pending.
    silent_since: Option<Instant>,
}

impl Link {
    pub(crate) fn new(
        shared: Arc<PoolShared>,
        peer: HostId,
        outgoing: mpsc::Receiver<OutgoingMessage>,
        rng: StdRng,
    ) -> Self {
        Self {
            shared,
            peer,
            outgoing,
            rng,
            backoff: BACKOFF_MIN,
        }
    }

    /// Connects whenever there is a message to send, and serves the connection, until the pool
    /// drops the link. After a failed attempt to connect the message fails, and the link waits
    /// before the next attempt.
    pub(crate) async fn run(mut self) {
        while let Some(first) = self.outgoing.recv().await {
            match self.connect().await {
                Ok(stream) => {
                    self.backoff = BACKOFF_MIN;
                    match self.serve_connection(stream, first).await {
                        CloseReason::LinkDropped => return,
                        CloseReason::Idle => {}
                        CloseReason::Broken(error) => {
                            log::debug!("peer: connection to {} failed: {error}", self.peer);
                        }
                    }
                }
                Err(error) => {
                    log::debug!("peer: can't connect to {}: {error}", self.peer);
                    first.fail(error.clone());
                    self.back_off(&error).await;
                }
            }
        }
    }

    /// Opens a connection and authenticates both ends.
    async fn connect(&mut self) -> Result<PeerStream, PeerError> {
        let addr = self
            .shared
            .addrs
            .peer_addr(&self.peer)
            .ok_or(PeerError::UnknownHost)?;
        let unreachable = |why: String| PeerError::Unreachable(format!("{addr}: {why}"));
        let connecting = async {
            let stream = TcpStream::connect(addr)
                .await
                .map_err(|error| unreachable(error.to_string()))?;
            stream
                .set_nodelay(true)
                .map_err(|error| unreachable(error.to_string()))?;
            let shared = &self.shared;
            handshake::connect(
                stream,
                &shared.host,
                &self.peer,
                &shared.keys,
                &mut self.rng,
            )
            .await
            .map_err(|error| unreachable(error.to_string()))
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .unwrap_or_else(|_| Err(unreachable("connect timed out".to_owned())))
    }

    /// Waits before the next attempt to connect. Messages that are queued during the wait fail at
    /// once, so that their callers try another host instead of waiting for their timeouts.
    async fn back_off(&mut self, error: &PeerError) {
        let wait = self.backoff.scaled(self.rng.random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        let until = Instant::now() + wait;
        while let Ok(Some(outgoing)) = tokio::time::timeout_at(until, self.outgoing.recv()).await {
            outgoing.fail(error.clone());
        }
    }

    /// Sends messages and passes replies to their callers until the connection is closed.
    async fn serve_connection(
        &mut self,
        mut stream: PeerStream,
        first: OutgoingMessage,
    ) -> CloseReason {
        let mut pending = PendingRequests::new();
        if let Err(error) = self.write_batch(&mut stream, &mut pending, first).await {
            return CloseReason::Broken(error);
        }
        loop {
            let deadline = pending.deadline();
            tokio::select! {
                next = self.outgoing.recv() => {
                    let Some(next) = next else {
                        return CloseReason::LinkDropped;
                    };
                    if let Err(error) = self.write_batch(&mut stream, &mut pending, next).await {
                        return CloseReason::Broken(error);
                    }
                }
                read = stream.next() => {
                    if let Err(error) = pending.on_read(read) {
                        return CloseReason::Broken(error);
                    }
                }
                () = tokio::time::sleep_until(deadline) => {
                    if pending.is_idle() {
                        return CloseReason::Idle;
                    }
                    return CloseReason::Broken(io::Error::from(io::ErrorKind::TimedOut).into());
                }
            }
        }
    }

    /// Writes a message and all messages that are queued behind it, then flushes.
    async fn write_batch(
        &mut self,
        stream: &mut PeerStream,
        pending: &mut PendingRequests,
        first: OutgoingMessage,
    ) -> Result<(), FrameError> {
        let writing = async {
            let mut next = Some(first);
            while let Some(outgoing) = next {
                self.write_one(stream, pending, outgoing).await?;
                next = self.outgoing.try_recv().ok();
            }
            stream.flush().await
        };
        tokio::time::timeout(WRITE_TIMEOUT, writing)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Writes one message into the buffer of the stream. A message is dropped if its caller has
    /// given up, and fails if the limit of control traffic is reached or the message is too large.
    async fn write_one(
        &self,
        stream: &mut PeerStream,
        pending: &mut PendingRequests,
        outgoing: OutgoingMessage,
    ) -> Result<(), FrameError> {
        let OutgoingMessage { message, reply } = outgoing;
        let call_id = match &reply {
            // The caller gave up while the message was queued. The peer must not handle it late.
            Some(reply) if reply.is_closed() => return Ok(()),
            Some(_) => pending.next_call_id(),
            None => 0,
        };
        let envelope = Envelope {
            from: String::new(),
            call_id,
            is_reply: false,
            message: Some(message),
        };
        if !self.shared.traffic.admit(&envelope) {
            if let Some(reply) = reply {
                let why = "limit of control traffic is reached".to_owned();
                let _ = reply.send(Err(PeerError::Unreachable(why)));
            }
            return Ok(());
        }
        match stream.feed(envelope).await {
            Ok(()) => {
                pending.insert(call_id, reply);
                Ok(())
            }
            // Nothing was written, so that only this message fails and the connection stays usable.
            Err(FrameError::TooLarge(size)) => {
                let error = PeerError::MessageTooLarge(FrameError::TooLarge(size).to_string());
                if let Some(reply) = reply {
                    let _ = reply.send(Err(error));
                }
                Ok(())
            }
            Err(error) => {
                pending.insert(call_id, reply);
                Err(error)
            }
        }
    }
}

impl PendingRequests {
    fn new() -> Self {
        Self {
            replies: IndexMap::new(),
            next_call_id: 0,
            silent_since: None,
        }
    }

    /// A new call id, unique on this connection and never 0.
    fn next_call_id(&mut self) -> u64 {
        self.next_call_id += 1;
        self.next_call_id
    }

    /// Adds a request, if a reply is expected, and starts the stall timeout if no other request is
    /// pending. Once [`PENDING_SWEEP_LEN`] requests are pending, those whose callers have given up
    /// are removed first.
    fn insert(&mut self, call_id: u64, reply: Option<ReplySender>) {
        let Some(reply) = reply else {
            return;
        };
        if self.replies.len() >= PENDING_SWEEP_LEN {
            self.replies.retain(|_, reply| !reply.is_closed());
        }
        self.replies.insert(call_id, reply);
        self.silent_since.get_or_insert_with(Instant::now);
    }

    /// Passes a reply to its caller, and restarts or ends the stall timeout. A reply to a request
    /// that is no longer pending is ignored. Fails if the connection has ended, the frame
    /// is invalid or the envelope is not a reply.
    fn on_read(&mut self, read: Option<Result<Envelope, FrameError>>) -> Result<(), FrameError> {
        let envelope = read.ok_or(FrameError::Unexpected("end of the connection"))??;
        if !envelope.is_reply {
            return Err(FrameError::Unexpected("request"));
        }
        if let Some(reply) = self.replies.swap_remove(&envelope.call_id) {
            // A reply of a kind that this version does not know is decoded as no message.
            let _ = reply.send(Ok(envelope.message.unwrap_or(Message::Ack(()))));
        }
        let is_waiting = !self.replies.is_empty();
        self.silent_since = is_waiting.then(Instant::now);
        Ok(())
    }

    /// Whether no request is pending.
    fn is_idle(&self) -> bool {
        self.silent_since.is_none()
    }

    /// When the connection is to be closed unless something is sent or received before.
    fn deadline(&self) -> Instant {
        match self.silent_since {
            Some(since) => since + STALL_TIMEOUT,
            None => Instant::now() + IDLE_TIMEOUT,
        }
    }
}
