//! How many bytes go to other hosts, and the bound on those for control.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prost::Message as _;

use crate::clock::Clock;
use crate::peer::Message;
use crate::peer::codec::FRAME_OVERHEAD;
use crate::peer::message::Envelope;
use crate::peer::token_bucket::TokenBucket;

/// The window over which the control rate is kept. It lets a host that joins be given a whole
/// manifest at once, which is a megabyte, and still holds the average.
const CONTROL_WINDOW: Duration = Duration::from_secs(300);

/// What a message counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Membership and manifests.
    Control,
    /// Grants and what hosts pass on for each other; it grows with the requests.
    Work,
}

impl TrafficClass {
    /// The class of a message.
    pub fn of(message: &Message) -> Self {
        match message {
            Message::GrantRequest(_)
            | Message::GrantReply(_)
            | Message::Finish(_)
            | Message::Withdraw(_)
            | Message::Announce(_)
            | Message::PlatformCall(_)
            | Message::PlatformReply(_)
            | Message::PoisonNotice(_)
            | Message::Ack(()) => Self::Work,
            Message::Gossip(_)
            | Message::ManifestNotice(_)
            | Message::ManifestQuery(_)
            | Message::IndexRequest(_)
            | Message::ManifestIndex(_)
            | Message::PartsRequest(_)
            | Message::ManifestParts(_) => Self::Control,
        }
    }
}

/// Counts what this host sends to others and bounds the part for control.
pub struct Traffic {
    clock: std::sync::Arc<dyn Clock>,
    control: Mutex<TokenBucket>,
    control_bytes: AtomicU64,
    work_bytes: AtomicU64,
    dropped_messages: AtomicU64,
    refused_connections: AtomicU64,
}

impl Traffic {
    /// Nothing sent yet; control may use `control_bytes_per_second` in the long run.
    pub fn new(clock: std::sync::Arc<dyn Clock>, control_bytes_per_second: u64) -> Self {
        let rate = control_bytes_per_second as f64;
        let burst = rate * CONTROL_WINDOW.as_secs_f64();
        let bucket = TokenBucket::new(rate, burst, clock.now());
        Self {
            clock,
            control: Mutex::new(bucket),
            control_bytes: AtomicU64::new(0),
            work_bytes: AtomicU64::new(0),
            dropped_messages: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
        }
    }

    /// Bytes sent for membership and manifests.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Bytes sent for grants and relayed calls.
    pub fn work_bytes(&self) -> u64 {
        self.work_bytes.load(Ordering::Relaxed)
    }

    /// Messages that were dropped because a queue was full or the control bound was reached.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages.load(Ordering::Relaxed)
    }

    /// Connections that did not get through the handshake.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }

    /// Counts a message that is about to be sent; `false` when the control bound forbids it.
    pub(crate) fn admit(&self, envelope: &Envelope) -> bool {
        let bytes = (envelope.encoded_len() + FRAME_OVERHEAD) as u64;
        let class = envelope.message.as_ref().map(TrafficClass::of);
        if class != Some(TrafficClass::Control) {
            self.work_bytes.fetch_add(bytes, Ordering::Relaxed);
            return true;
        }
        let mut bucket = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        if !bucket.take(bytes as f64, self.clock.now()) {
            self.count_dropped();
            return false;
        }
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
        true
    }

    pub(crate) fn count_dropped(&self) {
        self.dropped_messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }
}
