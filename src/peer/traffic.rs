//! The count of the bytes sent to other hosts, and the limit of control traffic.

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

/// The window over which the rate of control traffic is averaged. It permits a burst that sends a
/// whole manifest, which is a megabyte, to a host that joins.
const CONTROL_WINDOW: Duration = Duration::from_secs(300);

/// The class of traffic that a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Messages of the membership and of manifests, whose rate is limited.
    Control,
    /// Messages about grants and relayed calls, whose rate grows with the rate of requests.
    Work,
}

impl TrafficClass {
    /// The class of the given message.
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

/// Counts the bytes sent to other hosts by class, the dropped messages, and the connections that
/// were refused or failed the handshake. It also limits the rate of control traffic: a message
/// above the limit is dropped.
pub struct Traffic {
    clock: std::sync::Arc<dyn Clock>,
    control: Mutex<TokenBucket>,
    control_bytes: AtomicU64,
    work_bytes: AtomicU64,
    dropped_messages: AtomicU64,
    refused_connections: AtomicU64,
}

impl Traffic {
    /// Counters at zero, with a limit of `control_bytes_per_second` for the rate of control
    /// traffic, averaged over five minutes.
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

    /// The bytes sent for the membership and for manifests.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// The bytes sent for grants and relayed calls.
    pub fn work_bytes(&self) -> u64 {
        self.work_bytes.load(Ordering::Relaxed)
    }

    /// The number of messages that were dropped because a queue was full or the limit of control
    /// traffic was reached.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages.load(Ordering::Relaxed)
    }

    /// The number of connections that were refused, or that failed the handshake.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }

    /// Counts a message that is about to be sent. Returns whether the message may be sent. Control
    /// traffic above the limit may not, and is counted as dropped.
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

    /// Counts a dropped message.
    pub(crate) fn count_dropped(&self) {
        self.dropped_messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refused connection.
    pub(crate) fn count_refused(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }
}
