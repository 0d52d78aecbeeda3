//! One connection to another host, with its reconnects.

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
use crate::units::HostId;

/// Long for one round trip inside a site, short against the time limits of callers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer may take to read what is sent before the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer that has answered nothing for this long while requests waited is cut off or frozen.
/// After a cut heals, the machine resends on the old connection only at ever longer intervals, so
/// requests would go on failing for up to minutes; a new connection works at once.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// An unused connection is closed, so that hosts which rarely talk hold none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Requests whose callers have not given up; callers that have are swept out at this many.
const PENDING_SWEEP_LEN: usize = 4_096;

type Reply = oneshot::Sender<Result<Message, PeerError>>;

/// A message on its way, and who waits for its reply.
pub(crate) struct Outgoing {
    pub(crate) message: Message,
    pub(crate) reply: Option<Reply>,
}

impl Outgoing {
    fn fail(self, error: PeerError) {
        if let Some(reply) = self.reply {
            // The caller may have given up already.
            let _ = reply.send(Err(error));
        }
    }
}

/// The task behind one host of a pool.
pub(crate) struct Link {
    shared: Arc<PoolShared>,
    peer: HostId,
    outgoing: mpsc::Receiver<Outgoing>,
    rng: StdRng,
    backoff: Duration,
}

/// Why an open connection ended.
enum Closed {
    Idle,
    PoolGone,
    Broken(FrameError),
}

/// Requests on one connection that wait for their replies.
struct Pending {
    replies: IndexMap<u64, Reply>,
    next_call_id: u64,
    silent_since: Option<Instant>,
}

impl Link {
    pub(crate) fn new(
        shared: Arc<PoolShared>,
        peer: HostId,
        outgoing: mpsc::Receiver<Outgoing>,
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

    /// Connects when there is something to send, until the pool drops the link.
    pub(crate) async fn run(mut self) {
        while let Some(first) = self.outgoing.recv().await {
            match self.connect().await {
                Ok(stream) => {
                    self.backoff = BACKOFF_MIN;
                    match self.exchange(stream, first).await {
                        Closed::PoolGone => return,
                        Closed::Idle => {}
                        Closed::Broken(error) => {
                            log::debug!("peer: connection to {} broke: {error}", self.peer);
                        }
                    }
                }
                Err(error) => {
                    log::debug!("peer: {}: {error}", self.peer);
                    first.fail(error.clone());
                    self.back_off(&error).await;
                }
            }
        }
    }

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
            .unwrap_or_else(|_| Err(unreachable("no connection in time".to_owned())))
    }

    /// Waits before the next attempt to connect. What is queued meanwhile fails at once, so that
    /// callers turn to another host instead of waiting for their timeouts.
    async fn back_off(&mut self, error: &PeerError) {
        let wait = self.backoff.mul_f64(self.rng.random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        let until = Instant::now() + wait;
        while let Ok(Some(outgoing)) = tokio::time::timeout_at(until, self.outgoing.recv()).await {
            outgoing.fail(error.clone());
        }
    }

    async fn exchange(&mut self, mut stream: PeerStream, first: Outgoing) -> Closed {
        let mut pending = Pending::new();
        if let Err(error) = self.write(&mut stream, &mut pending, first).await {
            return Closed::Broken(error);
        }
        loop {
            let wake = pending.wake();
            tokio::select! {
                outgoing = self.outgoing.recv() => {
                    let Some(outgoing) = outgoing else {
                        return Closed::PoolGone;
                    };
                    if let Err(error) = self.write(&mut stream, &mut pending, outgoing).await {
                        return Closed::Broken(error);
                    }
                }
                read = stream.next() => {
                    if let Err(error) = pending.take_in(read) {
                        return Closed::Broken(error);
                    }
                }
                () = tokio::time::sleep_until(wake) => {
                    if pending.is_idle() {
                        return Closed::Idle;
                    }
                    return Closed::Broken(io::Error::from(io::ErrorKind::TimedOut).into());
                }
            }
        }
    }

    /// Writes a message and all that are queued behind it, then flushes.
    async fn write(
        &mut self,
        stream: &mut PeerStream,
        pending: &mut Pending,
        first: Outgoing,
    ) -> Result<(), FrameError> {
        let writing = async {
            let mut next = Some(first);
            while let Some(outgoing) = next {
                self.feed(stream, pending, outgoing).await?;
                next = self.outgoing.try_recv().ok();
            }
            stream.flush().await
        };
        tokio::time::timeout(WRITE_TIMEOUT, writing)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn feed(
        &self,
        stream: &mut PeerStream,
        pending: &mut Pending,
        outgoing: Outgoing,
    ) -> Result<(), FrameError> {
        let Outgoing { message, reply } = outgoing;
        let call_id = match &reply {
            // The caller gave up while the message was queued: it must not run late.
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
                let why = "the control bound is reached".to_owned();
                let _ = reply.send(Err(PeerError::Unreachable(why)));
            }
            return Ok(());
        }
        match stream.feed(envelope).await {
            Ok(()) => {
                pending.wait_for(call_id, reply);
                Ok(())
            }
            // Nothing was written: only this message fails, not the connection.
            Err(FrameError::TooLarge(size)) => {
                let error = PeerError::BadFrame(FrameError::TooLarge(size).to_string());
                if let Some(reply) = reply {
                    let _ = reply.send(Err(error));
                }
                Ok(())
            }
            Err(error) => {
                pending.wait_for(call_id, reply);
                Err(error)
            }
        }
    }
}

impl Pending {
    fn new() -> Self {
        Self {
            replies: IndexMap::new(),
            next_call_id: 0,
            silent_since: None,
        }
    }

    fn next_call_id(&mut self) -> u64 {
        self.next_call_id += 1;
        self.next_call_id
    }

    fn wait_for(&mut self, call_id: u64, reply: Option<Reply>) {
        let Some(reply) = reply else {
            return;
        };
        if self.replies.len() >= PENDING_SWEEP_LEN {
            self.replies.retain(|_, reply| !reply.is_closed());
        }
        self.replies.insert(call_id, reply);
        self.silent_since.get_or_insert_with(Instant::now);
    }

    fn take_in(&mut self, read: Option<Result<Envelope, FrameError>>) -> Result<(), FrameError> {
        let envelope = read.ok_or(FrameError::Unexpected("end of the connection"))??;
        if !envelope.is_reply {
            return Err(FrameError::Unexpected("request"));
        }
        if let Some(reply) = self.replies.swap_remove(&envelope.call_id) {
            // A kind that this version does not know reads as a plain reply.
            let _ = reply.send(Ok(envelope.message.unwrap_or(Message::Ack(()))));
        }
        let is_waiting = !self.replies.is_empty();
        self.silent_since = is_waiting.then(Instant::now);
        Ok(())
    }

    fn is_idle(&self) -> bool {
        self.silent_since.is_none()
    }

    /// When the connection is to be given up unless something happens before.
    fn wake(&self) -> Instant {
        match self.silent_since {
            Some(since) => since + STALL_TIMEOUT,
            None => Instant::now() + IDLE_TIMEOUT,
        }
    }
}
