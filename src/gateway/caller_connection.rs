//! One open connection of a caller.

use std::io;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::http::ByteBudget;
use crate::http::ReservedBytes;

/// The bytes of a head that need no reservation: what hyper's buffer has in any case.
const UNRESERVED_HEAD_MAX: usize = 8 << 10;

/// What is known of an open connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// The bytes that the host may hold.
    budget: ByteBudget,
    state: Mutex<ConnectionState>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    /// Whether the head of the present request has been read.
    has_head: bool,
    /// The bytes of the head that have been read.
    head_len: usize,
    /// The reservation for a head that is longer than usual.
    reserved: Option<ReservedBytes>,
    /// Whether a request was refused before its body had been read.
    has_unread_body: bool,
}

impl CallerConnection {
    pub(crate) fn new(budget: ByteBudget) -> Self {
        Self {
            budget,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this number of bytes has been read. Fails if they are more of a head than the host
    /// may hold.
    pub(crate) fn on_read(&self, len: usize) -> io::Result<()> {
        let mut state = self.state();
        if state.has_head {
            return Ok(());
        }
        let held = state.head_len.max(UNRESERVED_HEAD_MAX);
        state.head_len += len;
        let added = state.head_len.saturating_sub(held);
        if added == 0 {
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
        let mut state = self.state();
        *state = ConnectionState {
            has_head: true,
            ..ConnectionState::default()
        };
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
        self.state().has_head = false;
    }
}
