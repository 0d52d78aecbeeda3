//! An admitted request of a caller.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::decide::RequestPart;
use crate::gateway::RequestHead;
use crate::routing::AllowedRegions;
use crate::routing::Route;
use crate::routing::stream_caller_timeout;
use crate::units::BoundedTime;
use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RegionId;
use crate::units::RequestHash;
use crate::units::ServiceId;

/// The minimum patience of a caller whose stream was interrupted. Callers wait for at least two
/// seconds without an event; half a second of this is left for detecting the interruption.
const STREAM_PATIENCE_MIN: Duration = Duration::from_millis(1_500);

/// The fraction of its objective for which a call waits for a slot before it is refused.
const SLOT_WAIT_FRACTION: f64 = 0.25;

/// The part of the patience of a caller that is reserved for transit times and forecast errors.
const TRANSIT_MARGIN: Duration = Duration::from_millis(500);

/// An admitted request, which may be sent to upstreams: the request as sent by the caller (method,
/// URI, headers, complete body and parsed head), with its route, service, customer and deadline.
#[derive(Clone, Debug)]
pub struct Call {
    /// The parsed request head.
    pub head: RequestHead,
    /// The HTTP method.
    pub method: Method,
    /// The path and query as sent by the caller.
    pub uri: Uri,
    /// The headers as sent by the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route of the call.
    pub route: Arc<Route>,
    /// The service that the call is sent to.
    pub service: ServiceId,
    /// The customer; none on a route that needs no key.
    pub customer: Option<CustomerId>,
    /// The regions that the customer allows.
    pub customer_regions: AllowedRegions,
    /// The customer's priority if the manifest lists one, else the route's; none if it lists none.
    pub listed_priority: Option<Priority>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller must have the final response.
    pub deadline: Instant,
    /// The result of [`Call::hash`], once it is known.
    pub(crate) hash: OnceLock<RequestHash>,
}

impl Call {
    /// The priority among the calls of a service: the listed one, else 0, which is served first.
    pub fn priority(&self) -> Priority {
        self.listed_priority.unwrap_or_default()
    }

    /// Whether upstreams of any region may serve the call.
    pub fn may_run_anywhere(&self) -> bool {
        let any = AllowedRegions::Any;
        self.route.allowed_regions == any && self.customer_regions == any
    }

    /// Whether upstreams of a region may serve the call; none if their region is unknown.
    pub fn may_run_in(&self, region: Option<&RegionId>) -> bool {
        self.route.allowed_regions.allows(region) && self.customer_regions.allows(region)
    }

    /// The time left until the deadline; zero after it.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The time left until the response is late by the objective of the route; zero after that.
    pub fn objective_left(&self, now: Instant) -> Duration {
        (self.arrived_at + self.route.objective).saturating_duration_since(now)
    }

    /// When a call that waits for a slot is refused. A caller that is told early can still be
    /// served elsewhere or later.
    pub fn slot_wait_until(&self) -> Instant {
        self.arrived_at + self.route.objective.scaled(SLOT_WAIT_FRACTION)
    }

    /// How long the call may still wait for a slot; zero after [`Call::slot_wait_until`].
    pub fn slot_wait_left(&self, now: Instant) -> Duration {
        self.slot_wait_until().saturating_duration_since(now)
    }

    /// A lower bound on how long the caller of an interrupted stream waits for the next event.
    ///
    /// Failure guarded against: an engine dies under load. Its streams are late by then, and
    /// without this minimum they would be refused as late although another engine could resume
    /// them.
    pub fn patience(&self) -> Duration {
        (self.route.objective * 2).max(STREAM_PATIENCE_MIN)
    }

    /// When the caller will give up if it receives nothing after `received_at`, when it last received
    /// something; its arrival if it has received nothing.
    pub fn caller_leaves_at(&self, received_at: Instant) -> Instant {
        if !self.route.kind.is_stream() {
            return self.deadline;
        }
        let patience = stream_caller_timeout(self.route.objective, self.route.pause_objective);
        (received_at + patience).min(self.deadline)
    }

    /// How long the caller will still wait for the first event, less the transit time of the
    /// response; zero once that has passed. Counted from the arrival of the request by a timeout
    /// that is derived from the objectives of the route, not by the caller's deadline.
    pub fn patience_left(&self, now: Instant) -> Duration {
        let patience = stream_caller_timeout(self.route.objective, self.route.pause_objective);
        (self.arrived_at + patience).saturating_duration_since(now + TRANSIT_MARGIN)
    }

    /// The hash of method, URI, customer and body, by which the call is recognised when its caller
    /// sends it again.
    pub fn hash(&self) -> RequestHash {
        *self.hash.get_or_init(|| {
            let customer = self.customer.as_ref().map_or("", CustomerId::as_str);
            let mut text = format!("{}\n{}\n{customer}\n", self.method, self.uri).into_bytes();
            text.extend_from_slice(&self.body);
            ContentHash::of(&text).into()
        })
    }

    /// The parts of the call's prompt that other calls may share.
    pub fn prompt_parts(&self) -> impl Iterator<Item = RequestPart> {
        let parts = self.head.shared_parts.iter();
        parts.copied().map(RequestPart::from)
    }

    /// All that the call has in common with others: parts of its prompt, and the call as a whole.
    pub fn parts(&self) -> Vec<RequestPart> {
        let whole = RequestPart::from(self.hash());
        self.prompt_parts().chain([whole]).collect()
    }
}
