//! One open connection of a caller.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::http::ByteBudget;
use crate::http::ReservedBytes;
use crate::units::CustomerId;

/// The bytes of a head that need no reservation: what hyper's buffer has in any case.
const UNRESERVED_HEAD_MAX: usize = 8 << 10;
/// How long a caller may send nothing, or little, of what it has begun before its connection may be
/// displaced by others.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// The bytes per second that are little.
const SLOW_BYTES_PER_S: f64 = 1_024.0;

/// How a connection gives way to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Displacement {
    /// Its request is refused, to free the memory of the body.
    Refuse,
    /// It is closed.
    Close,
}

/// What is known of an open connection of a caller.
pub(crate) struct CallerConnection {
    clock: Arc<dyn Clock>,
    /// The bytes that the host may hold.
    budget: ByteBudget,
    state: Mutex<ConnectionState>,
    /// Whether, and how, the connection gives way.
    displacement: watch::Sender<Option<Displacement>>,
}

struct ConnectionState {
    phase: Phase,
    /// When the present phase began.
    phase_began_at: Instant,
    /// The bytes that have been read since then, and when the last ones were.
    read_len: usize,
    read_at: Instant,
    /// The reservation for a head that is longer than usual.
    reserved: Option<ReservedBytes>,
    /// The customer of the present request, once it is known.
    customer: Option<CustomerId>,
    /// Whether a request was refused before its body had been read.
    has_unread_body: bool,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The head of its first request.
    FirstHead,
    /// The head of a further request.
    NextHead,
    /// The body of a request.
    Body,
    /// The response to a request that has been read.
    Response,
}

/// A connection that may give way to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// When its caller last sent something.
    pub(crate) read_at: Instant,
    /// The bytes of the body that have been read.
    pub(crate) body_len: usize,
}

impl CallerConnection {
    pub(crate) fn new(clock: Arc<dyn Clock>, budget: ByteBudget) -> Self {
        let now = clock.now();
        Self {
            clock,
            budget,
            state: Mutex::new(ConnectionState {
                phase: Phase::FirstHead,
                phase_began_at: now,
                read_len: 0,
                read_at: now,
                reserved: None,
                customer: None,
                has_unread_body: false,
            }),
            displacement: watch::Sender::new(None),
        }
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, phase: Phase) {
        // A refusal that came too late is not for the next request.
        self.displacement
            .send_if_modified(|known| known.take_if(|how| *how == Displacement::Refuse).is_some());
        let now = self.clock.now();
        let mut state = self.state();
        state.phase = phase;
        state.phase_began_at = now;
        state.read_len = 0;
        state.read_at = now;
        state.reserved = None;
    }

    /// Records that this number of bytes has been read. Fails if they are more of a head than the host
    /// may hold.
    pub(crate) fn on_read(&self, len: usize) -> io::Result<()> {
        let now = self.clock.now();
        let mut state = self.state();
        let held = state.read_len.max(UNRESERVED_HEAD_MAX);
        state.read_len += len;
        state.read_at = now;
        let added = state.read_len.saturating_sub(held);
        let is_head = matches!(state.phase, Phase::FirstHead | Phase::NextHead);
        if added == 0 || !is_head || state.has_unread_body {
            return Ok(());
        }
        let Some(added) = self.budget.reserve(added) else {
            return Err(io::Error::from(io::ErrorKind::OutOfMemory));
        };
        match &mut state.reserved {
            Some(reserved) => reserved.merge(added),
            None => state.reserved = Some(added),
        }
        Ok(())
    }

    /// Records that the head of a request has been read.
    pub(crate) fn on_head(&self) {
        self.begin(Phase::Body);
        let mut state = self.state();
        state.customer = None;
        state.has_unread_body = false;
    }

    /// Records whose request it is.
    pub(crate) fn on_customer(&self, customer: Option<&CustomerId>) {
        self.state().customer = customer.cloned();
    }

    /// Records that a request has been read to its end.
    pub(crate) fn on_request_read(&self) {
        self.begin(Phase::Response);
    }

    /// Records that a request is refused before its body has been read.
    pub(crate) fn on_unread_body(&self) {
        self.state().has_unread_body = true;
    }

    /// Whether the body of the last request has not been read, since the request was refused.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.state().has_unread_body
    }

    /// Records that a request has been answered: what is read from now on is the head of the next one.
    pub(crate) fn on_answered(&self) {
        self.begin(Phase::NextHead);
    }

    /// The connection as one that may give way, if it waits for a caller that sends nothing, or little, of
    /// what it has begun; none otherwise, or if it gives way already. A connection that has had a request
    /// answered, and waits for the next one, is an idle one of a caller that behaves.
    pub(crate) fn stalled(&self, now: Instant) -> Option<Waiting> {
        let state = self.state();
        let is_waiting = matches!(state.phase, Phase::FirstHead | Phase::Body);
        if !is_waiting || self.displacement.borrow().is_some() {
            return None;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let age = since(state.phase_began_at);
        let is_slow = (state.read_len as f64) < SLOW_BYTES_PER_S * age.as_secs_f64();
        let is_stalled = since(state.read_at) >= STALLED_AFTER || (age >= STALLED_AFTER && is_slow);
        is_stalled.then(|| state.waiting())
    }

    /// The connection with the customer of its request, if it waits for the body of that; none otherwise,
    /// or if it gives way already.
    pub(crate) fn reading_for(&self) -> Option<(Option<CustomerId>, Waiting)> {
        let state = self.state();
        let is_reading = state.phase == Phase::Body && self.displacement.borrow().is_none();
        is_reading.then(|| (state.customer.clone(), state.waiting()))
    }

    /// Has the connection give way.
    pub(crate) fn displace(&self, how: Displacement) {
        self.displacement.send_replace(Some(how));
    }

    /// Waits until the connection is to give way in this manner.
    pub(crate) async fn displaced(&self, how: Displacement) {
        let mut displacement = self.displacement.subscribe();
        // The sender lives as long as the connection.
        let _ = displacement.wait_for(|known| *known == Some(how)).await;
    }
}

impl ConnectionState {
    fn waiting(&self) -> Waiting {
        let body_len = match self.phase {
            Phase::Body => self.read_len,
            _ => 0,
        };
        Waiting {
            read_at: self.read_at,
            body_len,
        }
    }
}
