//! The open connections of callers, their bound, and which of them give way to others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use indexmap::IndexMap;

use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::caller_connection::Displacement;
use crate::units::CustomerId;

type OpenConnections = Arc<Mutex<IndexMap<u64, Arc<CallerConnection>>>>;

/// The open connections of callers. Each also needs a descriptor towards an upstream while it
/// has a request, so a host that took connections without bound could no longer serve the requests
/// that it has read.
#[derive(Default)]
pub(crate) struct CallerConnections {
    open: OpenConnections,
    last_id: AtomicU64,
    is_full: AtomicBool,
}

/// What happens to a new connection.
pub(crate) enum ConnectionDecision {
    /// The connection is served, and counts as open until the guard is dropped.
    Serve(OpenConnection),
    /// The connection is closed unread, so that the caller tries another host at once. Tells whether
    /// it is the first one since a connection was served.
    Close {
        /// Whether the connection before this one was served.
        is_first: bool,
    },
}

fn lock(open: &OpenConnections) -> MutexGuard<'_, IndexMap<u64, Arc<CallerConnection>>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CallerConnections {
    /// Decides on a new connection where at most `max` may be open. If that many are, one of a caller that
    /// sends nothing of what it has begun is closed for it.
    pub(crate) fn on_accepted(
        &self,
        connection: &Arc<CallerConnection>,
        max: usize,
        now: Instant,
    ) -> ConnectionDecision {
        if self.open() >= max && !self.close_stalled(now) {
            let is_first = !self.is_full.swap(true, Ordering::Relaxed);
            return ConnectionDecision::Close { is_first };
        }
        self.is_full.store(false, Ordering::Relaxed);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.open).insert(id, Arc::clone(connection));
        ConnectionDecision::Serve(OpenConnection {
            id,
            open: Arc::clone(&self.open),
        })
    }

    /// The number of open connections.
    pub(crate) fn open(&self) -> usize {
        lock(&self.open).len()
    }

    /// Closes the connection whose caller has sent nothing for longest. Returns whether there is one.
    fn close_stalled(&self, now: Instant) -> bool {
        let mut open = lock(&self.open);
        let stalled = open.iter().filter_map(|(id, connection)| {
            let waiting = connection.stalled(now)?;
            Some((*id, waiting.read_at))
        });
        let Some((id, _)) = stalled.min_by_key(|(_, read_at)| *read_at) else {
            return false;
        };
        if let Some(connection) = open.swap_remove(&id) {
            connection.displace(Displacement::Close);
        }
        true
    }

    /// Has the largest body that is being read be refused, to make room for one of `customer`: one whose
    /// caller sends nothing, or one of the customer that holds more than all others together, if that is
    /// another one. Returns whether there is one.
    pub(crate) fn refuse_body(&self, customer: Option<&CustomerId>, now: Instant) -> bool {
        let open = lock(&self.open);
        let with_body = |connection: &Arc<CallerConnection>| {
            let len = connection.stalled(now)?.body_len;
            (len > 0).then(|| (Arc::clone(connection), len))
        };
        let stalled = open.values().filter_map(with_body);
        let largest = stalled.max_by_key(|(_, len)| *len);
        let found = largest.or_else(|| largest_of_main_customer(&open, customer));
        let Some((connection, _)) = found else {
            return false;
        };
        connection.displace(Displacement::Refuse);
        true
    }
}

/// The largest body that is being read for the customer for which most bytes are held, if these are more
/// than half, and that is another customer.
fn largest_of_main_customer(
    open: &IndexMap<u64, Arc<CallerConnection>>,
    customer: Option<&CustomerId>,
) -> Option<(Arc<CallerConnection>, usize)> {
    let mut held: IndexMap<Option<CustomerId>, (usize, Arc<CallerConnection>, usize)> =
        IndexMap::new();
    let mut total = 0;
    for connection in open.values() {
        let Some((of, waiting)) = connection.reading_for() else {
            continue;
        };
        let len = waiting.body_len;
        total += len;
        let (sum, largest, largest_len) = held
            .entry(of)
            .or_insert_with(|| (0, Arc::clone(connection), 0));
        *sum += len;
        if len > *largest_len {
            (*largest, *largest_len) = (Arc::clone(connection), len);
        }
    }
    let main = held.into_iter().max_by_key(|(_, (sum, ..))| *sum);
    let (main, (sum, largest, len)) = main?;
    (sum * 2 > total && main.as_ref() != customer).then_some((largest, len))
}

/// A guard that counts one connection as open until it is dropped.
pub(crate) struct OpenConnection {
    id: u64,
    open: OpenConnections,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.open).swap_remove(&self.id);
    }
}
