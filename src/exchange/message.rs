//! The messages. Field numbers are never used again.

use std::time::Duration;

use crate::exchange::MessageScope;
use crate::exchange::UpstreamHash;
use crate::units::whole_millis_u32;

/// What one host tells, of itself or for others. Tag 6 was used before.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HostUpdate {
    /// The name of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Drawn at the sender's start; totals begin anew with it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Grows with each message of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The work at upstreams; those without any are left out.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// The version of the manifest that the sender has read last; 0 if none, or if it does not say.
    #[prost(uint64, tag = "7")]
    pub routes_version: u64,
    /// The version of the upstreams that it has read last; 0 if none, or if it does not say.
    #[prost(fixed64, tag = "8")]
    pub upstreams_version: u64,
    /// Upstreams that the sender could not reach lately.
    #[prost(string, repeated, tag = "9")]
    pub unreachable_upstreams: Vec<String>,
    /// Failure domains that it takes for cut off.
    #[prost(string, repeated, tag = "10")]
    pub unreachable_domains: Vec<String>,
    /// Requests that crashed upstreams lately.
    #[prost(message, repeated, tag = "5")]
    pub poisons: Vec<PoisonEntry>,
    /// For whom it speaks. A host of a former version knows of its own scope only, and is sent nothing
    /// else.
    #[prost(enumeration = "MessageScope", tag = "11")]
    pub scope: i32,
    /// Whether `loads` names only what has changed since the last message.
    #[prost(bool, tag = "12")]
    pub is_partial: bool,
    /// What a collector passes on.
    #[prost(message, repeated, tag = "13")]
    pub relayed: Vec<HostUpdate>,
    /// Whether a host that does not collect has passed it on to the one that does.
    #[prost(bool, tag = "14")]
    pub is_redirected: bool,
    /// One more than the time since the sender's manifest and upstreams were certainly the newest, in ms;
    /// 0 if it does not say, or has not read them yet.
    #[prost(uint32, tag = "15")]
    pub confirmed_age_plus_one_ms: u32,
    /// Engines that the sender has asked and that are slow; those that it speaks of no more are sound.
    #[prost(message, repeated, tag = "16")]
    pub slowdowns: Vec<SlowdownEntry>,
    /// Upstreams that have named a limit, and what was sent there. Those that it doesn't name are as before.
    #[prost(message, repeated, tag = "17")]
    pub limits: Vec<LimitEntry>,
}

/// The work at one upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadEntry {
    /// The upstream; empty where its hash is given.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The hash of the upstream's id, a third of its bytes; 0 where its id is given.
    #[prost(fixed64, tag = "9")]
    pub upstream_hash: u64,
    /// Requests that have not ended.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Those of them with a short prompt.
    #[prost(uint32, tag = "3")]
    pub short_in_flight: u32,
    /// Time until it has read in what the sender sent there, as far as that knows, in ms.
    #[prost(uint32, tag = "4")]
    pub prefill_remaining_ms: u32,
    /// Reading time of all that the sender has sent there since its start, in microseconds.
    #[prost(uint64, tag = "7")]
    pub prefill_total_us: u64,
    /// The shortest pause that a caller of one of them accepts between two events, in ms; 0 if none
    /// says.
    #[prost(uint32, tag = "6")]
    pub strictest_pause_ms: u32,
    /// Memory that these requests take, in tokens.
    #[prost(uint64, tag = "5")]
    pub held_tokens: u64,
    /// Time until the first of the sender's prompts that are being read there has to have its first
    /// event to be on time, in ms; 0 if none is.
    #[prost(uint32, tag = "8")]
    pub prefill_due_ms: u32,
    /// Prompts of other engines that it helps to read or keeps a part of; 0 if the sender does not say.
    #[prost(uint32, tag = "10")]
    pub helping: u32,
}

impl LoadEntry {
    /// The hash of the upstream's id, by whichever of the two it is named.
    pub fn hash(&self) -> UpstreamHash {
        if self.upstream_hash == 0 {
            UpstreamHash::of(&self.upstream)
        } else {
            UpstreamHash(self.upstream_hash)
        }
    }
}

/// An engine that is slow.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SlowdownEntry {
    /// The hash of the engine's id.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// How long it takes, in hundredths of what its model says.
    #[prost(uint32, tag = "2")]
    pub slowdown_percent: u32,
}

/// An upstream that has named a limit of requests a second.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct LimitEntry {
    /// The hash of the upstream's id.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// The requests a second that it takes from all hosts together; none if the limit has ended.
    #[prost(double, optional, tag = "2")]
    pub limit_per_s: Option<f64>,
    /// The time since it said so, in ms.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests that the sender, or its failure domain, has sent there within the time over which limits are kept.
    #[prost(uint32, tag = "4")]
    pub sent_in_window: u32,
    /// Those of them within the shorter time.
    #[prost(uint32, tag = "5")]
    pub sent_in_burst_window: u32,
}

impl LimitEntry {
    /// The upstream.
    pub fn upstream(&self) -> UpstreamHash {
        UpstreamHash(self.upstream_hash)
    }

    /// The same, told so much later.
    pub(crate) fn aged_by(self, time: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_millis_u32(time)),
            ..self
        }
    }

    /// The same for this sender and another one together.
    pub(crate) fn combined_with(self, other: &Self) -> Self {
        let newer = if other.age_ms < self.age_ms {
            other
        } else {
            &self
        };
        Self {
            sent_in_window: self.sent_in_window.saturating_add(other.sent_in_window),
            sent_in_burst_window: self
                .sent_in_burst_window
                .saturating_add(other.sent_in_burst_window),
            ..*newer
        }
    }

    /// Whether only time has passed between the two.
    pub(crate) fn is_equal_ignoring_age(&self, other: &Self) -> bool {
        let age_ms = self.age_ms;
        *self == Self { age_ms, ..*other }
    }
}

/// A request that crashed upstreams.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct PoisonEntry {
    /// The hash it is recognised by, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// The attempts that crashed an upstream, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub attempts: Vec<Vec<u8>>,
}
