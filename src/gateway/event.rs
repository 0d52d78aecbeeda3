//! The lines of the decision log.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::EngineSurveyRecord;
use crate::gateway::RateLimitRecord;

/// One decision that touches a request, or one change of what the host takes to be true. Each is
/// written as a line of JSON.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The host has started.
    Started {
        /// Its failure domain.
        domain: String,
        /// Where callers connect.
        callers_addr: String,
    },
    /// The host was asked to stop.
    Stopping {
        /// Requests that have not ended.
        in_flight: u64,
    },
    /// The host stops.
    Stopped {
        /// Requests that were cut off by it.
        cut: u64,
    },
    /// The settings file was read again.
    Reloaded {
        /// What came of it.
        outcome: String,
    },
    /// A manifest is in force.
    ManifestInForce {
        /// Its number.
        generation: u64,
        /// How many routes it has.
        routes: usize,
        /// How many keys it has.
        keys: usize,
    },
    /// The list of upstreams has changed.
    UpstreamsChanged {
        /// Upstreams that may get requests.
        usable: usize,
        /// Those that are new on the list.
        joined: Vec<String>,
        /// Those that left it or are leaving.
        left: Vec<String>,
        /// Those of them that have started again under the same name.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        restarted: Vec<String>,
    },
    /// News of other hosts come by another way.
    NewsRoute {
        /// The host that passes on those of other failure domains; none if all hosts tell each other,
        /// or if it is this one.
        collector: Option<String>,
        /// How old those of this domain are at most when nothing is lost, in ms.
        near_age_ms: u64,
        /// The same of those of other domains.
        far_age_ms: u64,
    },
    /// The platform's store has come back from an older copy: what was written since is gone, and its revisions go back.
    /// All that is held of it is read anew, and this host puts itself on the list again.
    StoreReturned {
        /// Its era before.
        former_era: u16,
        /// Its era now.
        era: u16,
        /// The revision of the manifest that was held.
        former_revision: u64,
        /// The revision of the one that was read.
        revision: u64,
    },
    /// The platform has a manifest that is older than the one in force, which stays; no lease on keys is renewed by it.
    ManifestOlder {
        /// The number of the one in force.
        in_force: u64,
        /// The number of the one that was read.
        generation: u64,
    },
    /// A dependency can't be reached.
    DependencyLost {
        /// Which one.
        dependency: Cow<'static, str>,
        /// How it shows.
        error: String,
    },
    /// A dependency can be reached again.
    DependencyRegained {
        /// Which one.
        dependency: Cow<'static, str>,
        /// How long it was away, in ms.
        away_ms: u64,
    },
    /// An engine has become slow or sound, by its own word to this host.
    UpstreamSpeed {
        /// The engine.
        upstream: String,
        /// How many times as long as its model says it takes.
        slowdown: f64,
    },
    /// An upstream has named another limit than before.
    UpstreamLimit {
        /// The upstream.
        upstream: String,
        /// The requests a second that it takes from all hosts together; none if as many as come.
        limit_per_s: Option<f64>,
        /// The host or collector that told of it; none if an answer to this host did.
        told_by: Option<String>,
        /// The time since the upstream said so, in ms.
        age_ms: u64,
    },
    /// An upstream has named a limit that is no rate; the limit that is known stays. One line in ten
    /// seconds for each upstream.
    LimitMalformed {
        /// The upstream.
        upstream: String,
        /// What it said.
        value: String,
    },
    /// An upstream failed a request or could not be reached.
    UpstreamFault {
        /// The request.
        request: String,
        /// The upstream.
        upstream: String,
        /// The fault.
        fault: String,
        /// Since the request arrived, in ms.
        elapsed_ms: u64,
    },
    /// Memory for a prompt of several engines could not be set aside.
    ReservationRefused {
        /// The request.
        request: String,
        /// What the engine said.
        error: String,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The request.
        request: String,
        /// The upstream.
        upstream: String,
        /// The engines that read parts of the prompt beside it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        helpers: Vec<String>,
        /// How many engines have memory set aside for the prompt.
        reserves: usize,
        /// How often it was sent before.
        earlier_sends: u32,
        /// When the first event is expected, in ms from now; 0 for plain services.
        forecast_ms: u64,
        /// Since the request arrived, in ms.
        elapsed_ms: u64,
        /// The prompt.
        prompt_tokens: u64,
        /// How old the manifest is, in ms.
        manifest_age_ms: u64,
        /// What its upstream has named as its limit, and got; none if it has named none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<RateLimitRecord>,
    },
    /// A prompt for several engines has waited for a second; one line a request.
    Waiting {
        /// The request.
        request: String,
        /// The prompt.
        prompt_tokens: u64,
        /// Since the request arrived, in ms.
        elapsed_ms: u64,
        /// What is left of the time in which its answer is on time, in ms.
        objective_left_ms: u64,
        /// What is left of its time, in ms.
        time_left_ms: u64,
        /// How often engines were chosen for it.
        choices: u32,
        /// The engines of this host's failure domain.
        near: Box<EngineSurveyRecord>,
        /// All engines of the service.
        all: Box<EngineSurveyRecord>,
    },
    /// A request was turned away by what this host knew then.
    Refused {
        /// The request.
        request: String,
        /// Why, as one word.
        reason: Cow<'static, str>,
        /// The prompt; 0 for plain services.
        prompt_tokens: u64,
        /// Since the request arrived, in ms.
        elapsed_ms: u64,
        /// What was left of the time in which its answer is on time, in ms.
        objective_left_ms: u64,
        /// What was left of its time, in ms.
        #[serde(default)]
        time_left_ms: u64,
        /// How often engines or instances were chosen for it.
        #[serde(default)]
        choices: u32,
        /// For a prompt of several engines, those of this host's failure domain.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        near: Option<Box<EngineSurveyRecord>>,
        /// The same of all engines of the service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        all: Option<Box<EngineSurveyRecord>>,
        /// When the caller was asked to come back, in ms.
        retry_after_ms: u64,
        /// Upstreams of its service that were on the list.
        upstreams: usize,
        /// Other hosts, or collectors that speak for theirs, whose work was known.
        hosts_heard: usize,
        /// How old the manifest is, in ms.
        manifest_age_ms: u64,
    },
    /// A request has ended.
    Ended {
        /// The request.
        request: String,
        /// Its route; empty if it has none.
        route: String,
        /// Whose it is; empty if nobody's.
        customer: String,
        /// What kind of request.
        kind: Cow<'static, str>,
        /// What came of it, as one word.
        outcome: String,
        /// The status that the caller got.
        status: u16,
        /// Since it arrived, in ms.
        elapsed_ms: u64,
        /// From its arrival to the first event of its answer, in ms; none if there was no event.
        first_event_ms: Option<u64>,
        /// The longest pause between two events, in ms.
        longest_pause_ms: u64,
        /// The manifest by which it was admitted.
        generation: u64,
    },
}

impl Event {
    /// The request that the line is about.
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::UpstreamFault { request, .. }
            | Self::ReservationRefused { request, .. }
            | Self::Sent { request, .. }
            | Self::Waiting { request, .. }
            | Self::Refused { request, .. }
            | Self::Ended { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Whether the line is kept before others when there are too many: those of failures and of the
    /// host itself are, those of requests that went well are not.
    pub fn is_kept_first(&self) -> bool {
        match self {
            Self::Sent { .. } | Self::Waiting { .. } => false,
            Self::Ended { status, .. } => *status >= 400,
            _ => true,
        }
    }
}
