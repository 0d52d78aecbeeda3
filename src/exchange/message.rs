//! The protobuf messages of the exchange. Field numbers must not be reused.

use std::time::Duration;

use crate::exchange::MessageScope;
use crate::exchange::PartEvidenceEntry;
use crate::exchange::UpstreamHash;
use crate::units::whole_millis_u32;

/// The update that one host sends, for itself or on behalf of others. Tag 6 is retired.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HostUpdate {
    /// The name of the host that sends the update.
    #[prost(string, tag = "1")]
    pub host: String,
    /// A random number drawn at each start of the sender. Totals start from zero with each
    /// incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number of the message within the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The load at upstreams. Upstreams without load are left out.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    // Tag 5 was that of requests that crashed upstreams, which `part_evidence` contains now.
    /// The version of the manifest that the sender read last; 0 if it has read none or does not
    /// report one.
    #[prost(uint64, tag = "7")]
    pub routes_version: u64,
    /// The version of the list of upstreams that the sender read last; 0 if it has read none or
    /// does not report one.
    #[prost(fixed64, tag = "8")]
    pub upstreams_version: u64,
    /// Upstreams that the sender could not reach recently.
    #[prost(string, repeated, tag = "9")]
    pub unreachable_upstreams: Vec<String>,
    /// Failure domains that the sender considers partitioned from its own.
    #[prost(string, repeated, tag = "10")]
    pub unreachable_domains: Vec<String>,
    /// Whose state the message carries. Hosts of an earlier version know messages of the scope
    /// [`MessageScope::Host`] only and are sent no others.
    #[prost(enumeration = "MessageScope", tag = "11")]
    pub scope: i32,
    /// Whether `loads` holds only the changes since the last message.
    #[prost(bool, tag = "12")]
    pub is_partial: bool,
    /// The updates that a collector relays.
    #[prost(message, repeated, tag = "13")]
    pub relayed: Vec<HostUpdate>,
    /// Whether a host that is not a collector has forwarded the message to its collector.
    #[prost(bool, tag = "14")]
    pub is_redirected: bool,
    /// One more than the time since the sender's manifest and list of upstreams were last confirmed
    /// to be current, in ms; 0 if the sender does not report it or has not read them yet.
    #[prost(uint32, tag = "15")]
    pub confirmed_age_plus_one_ms: u32,
    /// Slow engines that the sender polls. An engine that is no longer included runs at full speed.
    #[prost(message, repeated, tag = "16")]
    pub slowdowns: Vec<SlowdownEntry>,
    /// The rate limits that upstreams have named, and the requests sent to these upstreams. The
    /// limits of upstreams that are not included are unchanged.
    #[prost(message, repeated, tag = "17")]
    pub limits: Vec<RateLimitEntry>,
    /// The hashes of the ids of upstreams of which the sender has learned recently that they are
    /// leaving.
    #[prost(fixed64, repeated, tag = "18")]
    pub leaving_upstreams: Vec<u64>,
    /// One more than the time since the sender's evacuations were last confirmed to be current, in
    /// ms; 0 if the sender does not report it or has not read them.
    #[prost(uint32, tag = "20")]
    pub evacuations_age_plus_one_ms: u32,
    /// What customers want and use of services. Customers that are not included are unchanged;
    /// recipients forget those that are not repeated within a second.
    #[prost(message, repeated, tag = "21")]
    pub customer_uses: Vec<CustomerUseEntry>,
    /// The outcomes of the sender's recent calls to upstreams that fail or are slow at any host, and
    /// to plain services. An absent entry means that there is nothing to say.
    #[prost(message, repeated, tag = "22")]
    pub outcomes: Vec<UpstreamOutcomeEntry>,
    /// What the sender knows of parts of prompts that may crash upstreams. Recipients keep what they
    /// were told.
    #[prost(message, repeated, tag = "23")]
    pub part_evidence: Vec<PartEvidenceEntry>,
    /// One more than the generation of the manifest in force at the sender; 0 if there is none or the
    /// sender does not report it.
    #[prost(uint64, tag = "24")]
    pub generation_plus_one: u64,
}

/// The load at one upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadEntry {
    /// The id of the upstream; empty if `upstream_hash` is set.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The hash of the upstream's id, which takes a third of the bytes; 0 if `upstream` is set.
    #[prost(fixed64, tag = "9")]
    pub upstream_hash: u64,
    /// The number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// The number of requests in flight that have a short prompt.
    #[prost(uint32, tag = "3")]
    pub short_in_flight: u32,
    /// Time until the upstream has finished the prefill of the sender's requests, in ms, as
    /// estimated by the sender.
    #[prost(uint32, tag = "4")]
    pub prefill_remaining_ms: u32,
    /// The total prefill time of all requests that the sender has sent to the upstream since its
    /// start, in microseconds.
    #[prost(uint64, tag = "7")]
    pub prefill_total_us: u64,
    /// The strictest limit on the pause between two events among the requests in flight, in ms; 0
    /// if no request has such a limit.
    #[prost(uint32, tag = "6")]
    pub strictest_pause_ms: u32,
    /// Engine memory held by the requests in flight, in tokens.
    #[prost(uint64, tag = "5")]
    pub held_tokens: u64,
    /// Time until the earliest deadline for a first event among the sender's requests in prefill,
    /// in ms; 0 if there are none.
    #[prost(uint32, tag = "8")]
    pub prefill_due_ms: u32,
    /// The number of prompts of other engines for which the upstream helps with prefill or holds a
    /// part; 0 if the sender does not report it.
    #[prost(uint32, tag = "10")]
    pub helping: u32,
}

impl LoadEntry {
    /// The hash of the upstream's id, whichever of the two fields identifies the upstream.
    pub fn hash(&self) -> UpstreamHash {
        if self.upstream_hash == 0 {
            UpstreamHash::of(&self.upstream)
        } else {
            UpstreamHash(self.upstream_hash)
        }
    }
}

/// An engine that is slower than its model.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SlowdownEntry {
    /// The hash of the engine's id.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// The time that the engine takes, in percent of the time that its model predicts.
    #[prost(uint32, tag = "2")]
    pub slowdown_percent: u32,
}

/// The rate limit that an upstream has named, or the end of the limit, and the requests sent to the
/// upstream recently.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct RateLimitEntry {
    /// The hash of the upstream's id.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// The requests per second that the upstream accepts from all hosts together; none if the limit
    /// has ended.
    #[prost(double, optional, tag = "2")]
    pub limit_per_s: Option<f64>,
    /// Time since the upstream stated the limit, in ms; `u32::MAX` if the sender knows no statement.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// The requests that the sender, or its failure domain, has sent to the upstream within the
    /// limit window.
    #[prost(uint32, tag = "4")]
    pub sent_in_window: u32,
    /// The requests among them that were sent within the shorter burst window.
    #[prost(uint32, tag = "5")]
    pub sent_in_burst_window: u32,
}

impl RateLimitEntry {
    /// The hash of the upstream's id.
    pub fn upstream(&self) -> UpstreamHash {
        UpstreamHash(self.upstream_hash)
    }

    /// Returns the entry with its age increased by `time`.
    pub(crate) fn aged_by(self, time: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_millis_u32(time)),
            ..self
        }
    }

    /// Combines the entries of two senders for the same upstream: adds their requests and keeps the
    /// more recent limit.
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

    /// Whether all fields other than the age are equal.
    pub(crate) fn is_equal_ignoring_age(&self, other: &Self) -> bool {
        let age_ms = self.age_ms;
        *self == Self { age_ms, ..*other }
    }
}

/// The outcomes of the recent calls of the sender, or of its failure domain, to one upstream or to
/// all upstreams of a service.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct UpstreamOutcomeEntry {
    /// The hash of the upstream's id, or of the service's name if `is_service` is set.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Whether the entry is about all upstreams of a service.
    #[prost(bool, tag = "2")]
    pub is_service: bool,
    /// The calls in the outcome window that were answered or failed.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
    /// The failures among them.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
    /// The calls that the upstream refused without running them.
    #[prost(uint32, tag = "5")]
    pub refusals: u32,
    /// The calls of which the time until the first event is known.
    #[prost(uint32, tag = "6")]
    pub timed_calls: u32,
    /// The sum of the forecasts of these times, in microseconds.
    #[prost(uint64, tag = "7")]
    pub forecast_us: u64,
    /// The sum of these times, in microseconds.
    #[prost(uint64, tag = "8")]
    pub taken_us: u64,
    /// The calls to a plain service of which the service time is known.
    #[prost(uint32, tag = "9")]
    pub service_calls: u32,
    /// The sum of the service times of these calls, in microseconds.
    #[prost(uint64, tag = "10")]
    pub service_time_us: u64,
}

impl UpstreamOutcomeEntry {
    /// What identifies the entry: the hash, and whether it is that of a service.
    pub(crate) fn key(&self) -> (u64, bool) {
        (self.upstream_hash, self.is_service)
    }

    /// The sums of both entries, which are about the same upstream or service.
    pub(crate) fn plus(self, other: &Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            failures: self.failures.saturating_add(other.failures),
            refusals: self.refusals.saturating_add(other.refusals),
            timed_calls: self.timed_calls.saturating_add(other.timed_calls),
            forecast_us: self.forecast_us.saturating_add(other.forecast_us),
            taken_us: self.taken_us.saturating_add(other.taken_us),
            service_calls: self.service_calls.saturating_add(other.service_calls),
            service_time_us: self.service_time_us.saturating_add(other.service_time_us),
            ..self
        }
    }

    /// The order of entries when not all fit into a message: services first, then the worst.
    pub(crate) fn rank(&self) -> (bool, u32, u64, u64) {
        let late_us = self.taken_us.saturating_sub(self.forecast_us);
        (
            self.is_service,
            self.failures,
            late_us,
            self.service_time_us,
        )
    }
}

/// What one customer, or several together, want and use of a service at the sender or in its
/// failure domain.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct CustomerUseEntry {
    /// The hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service_hash: u64,
    /// The hash of the customer's name; 0 for all customers of the service together that have no
    /// entry of their own.
    #[prost(fixed64, tag = "2")]
    pub customer_hash: u64,
    /// In an entry for several customers, the number of customers that want something of the
    /// service, those with an entry of their own included; otherwise 0.
    #[prost(uint32, tag = "3")]
    pub customers: u32,
    /// The engine time of the calls that arrived, in microseconds per second.
    #[prost(uint64, tag = "4")]
    pub wanted_us_per_s: u64,
    /// The engine time of the calls that were sent to upstreams, in microseconds per second.
    #[prost(uint64, tag = "5")]
    pub used_us_per_s: u64,
    /// The engine time of one call that arrived, in microseconds: a mean weighted by engine time.
    #[prost(uint64, tag = "6")]
    pub call_us: u64,
    /// What the customer usually wants, over all hosts, in microseconds per second; 0 in an entry for
    /// several customers.
    #[prost(uint64, tag = "7")]
    pub usual_us_per_s: u64,
    /// The usual engine time of one call, in microseconds: a mean weighted by engine time.
    #[prost(uint64, tag = "8")]
    pub usual_call_us: u64,
    /// For how long the sender has learned the usual demand, in seconds; the longest time among
    /// several senders.
    #[prost(uint32, tag = "9")]
    pub learned_s: u32,
}
