//! Stand-ins for upstreams: plain services and engines that respond correctly, or fail in the ways
//! that real upstreams do.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::history::History;
use crate::silence_gate::SilenceGate;
pub use crate::upstream_mode::UpstreamMode;
use crate::upstream_shared::UpstreamShared;
use crate::upstream_slots::UpstreamSlots;

/// A handle to a stand-in for one upstream, from its start to its end. Clones share the mode, what
/// the responses state, and the reservations.
#[derive(Clone)]
pub struct UpstreamStandIn {
    /// The id.
    pub id: String,
    /// The service.
    pub service: &'static str,
    /// The index of the failure domain.
    pub domain: usize,
    /// The address.
    pub addr: SocketAddr,
    shared: Arc<UpstreamShared>,
}

impl UpstreamStandIn {
    /// Starts a healthy upstream on a free port of `ip`. Its runs are recorded in `history`.
    pub async fn start(
        id: String,
        service: &'static str,
        domain: usize,
        ip: IpAddr,
        started_at: Instant,
        history: Arc<History>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(UpstreamShared {
            id: id.clone(),
            domain,
            service,
            started_at,
            history,
            mode: watch::Sender::new(UpstreamMode::Healthy),
            silence: SilenceGate::default(),
            advertised_limit_per_s: Mutex::default(),
            arrivals: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            backoff: Mutex::default(),
            reservation_ends: Mutex::default(),
            slots: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&shared).accept_connections(listener));
        Ok(Self {
            id,
            service,
            domain,
            addr,
            shared,
        })
    }

    /// Changes how requests are handled. After [`UpstreamMode::Down`] the upstream accepts no
    /// connections again.
    pub fn set_mode(&self, mode: UpstreamMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Stops reading and writing on all connections, until as many silences have ended as have
    /// started.
    pub fn start_silence(&self) {
        let now = self.shared.started_at.elapsed();
        self.shared.silence.start(now);
    }

    /// Ends one silence. After the last one, the upstream goes on where it was.
    pub fn end_silence(&self) {
        let now = self.shared.started_at.elapsed();
        self.shared.silence.end(now);
    }

    /// Runs at most this number of requests at once from now on, lets as many wait, and refuses all
    /// others.
    pub fn set_slots(&self, slots: u32) {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        *self.shared.slots() = Some(Arc::new(UpstreamSlots::new(slots)));
    }

    /// Advertises a limit in requests per second from now on, in place of any other limit.
    pub(crate) fn start_advertising_limit(&self, per_s: f64) {
        *self.shared.advertised_limit() = Some(per_s);
    }

    /// Stops advertising this limit. Another limit that has replaced it stays.
    pub(crate) fn stop_advertising_limit(&self, per_s: f64) {
        let mut limit = self.shared.advertised_limit();
        if *limit == Some(per_s) {
            *limit = None;
        }
    }

    /// Says in all responses from now on that the upstream leaves.
    pub(crate) fn start_leaving(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Refuses all requests and reservations from now on and wants no more from the host for
    /// `backoff`, or accepts them again if that is none.
    pub(crate) fn set_backoff(&self, backoff: Option<Duration>) {
        *self.shared.backoff() = backoff;
    }

    /// Whether the upstream has ended.
    pub(crate) fn is_down(&self) -> bool {
        *self.shared.mode.borrow() == UpstreamMode::Down
    }

    /// Number of requests that have arrived, handled or not.
    pub fn arrivals(&self) -> usize {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// Discards expired memory reservations and returns the number of the others.
    pub(crate) fn reservation_count(&self) -> usize {
        let now = self.shared.started_at.elapsed();
        let mut reservation_ends = self.shared.reservation_ends();
        reservation_ends.retain(|_, until| *until > now);
        reservation_ends.len()
    }
}
