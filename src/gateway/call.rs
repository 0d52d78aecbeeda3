//! A caller's request, read and admitted.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::decide::RequestFingerprint;
use crate::gateway::RequestHead;
use crate::routing::Route;
use crate::routing::callers_patience;
use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::ServiceId;

/// Callers stay for at least two seconds without an event; half a second of it is for finding out that
/// the stream broke off.
const STREAM_PATIENCE_MIN: Duration = Duration::from_millis(1_500);

/// Of a caller's patience, kept for ways and for what a forecast falls short.
const PATIENCE_MARGIN: Duration = Duration::from_millis(500);

/// A request that may be sent to upstreams.
#[derive(Clone, Debug)]
pub struct Call {
    /// What its head says.
    pub head: RequestHead,
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub uri: Uri,
    /// Its headers, as the caller sent them.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Whose it is; none on a route that needs no key.
    pub customer: Option<CustomerId>,
    /// When its first byte was seen.
    pub arrived_at: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
}

impl Call {
    /// What is left of its time.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// What is left of the time in which its answer is on time.
    pub fn objective_left(&self, now: Instant) -> Duration {
        (self.arrived_at + self.route.objective).saturating_duration_since(now)
    }

    /// How long the caller of a stream that broke off stays for its next event.
    ///
    /// Failure it guards against: an engine dies under load, its answers are late by then, and as late
    /// ones they are turned away where they could go on. Callers stay longer than this.
    pub fn patience(&self) -> Duration {
        (self.route.objective * 2).max(STREAM_PATIENCE_MIN)
    }

    /// How long the caller still stays without a first event, less what an answer's way takes.
    pub fn patience_left(&self, now: Instant) -> Duration {
        let stays = callers_patience(self.route.objective, self.route.pause_objective);
        (self.arrived_at + stays).saturating_duration_since(now + PATIENCE_MARGIN)
    }

    /// What it is recognised by when a caller sends it again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let customer = self.customer.as_ref().map_or("", CustomerId::as_str);
        let mut text = format!("{}\n{}\n{customer}\n", self.method, self.uri).into_bytes();
        text.extend_from_slice(&self.body);
        RequestFingerprint::of_content(ContentHash::of(&text))
    }
}
