//! Reports about requests that crash upstreams, which hosts send to each other.

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::IdempotencyKey;

/// A hash that identifies a request when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestFingerprint {
    /// The hash of the body.
    Content(ContentHash),
    /// The hash of the customer and the idempotency key.
    Key(ContentHash),
}

impl RequestFingerprint {
    /// The fingerprint of a body.
    pub fn of_content(content: ContentHash) -> Self {
        Self::Content(content)
    }

    /// The fingerprint of a customer's idempotency key.
    pub fn of_key(customer: &CustomerId, key: &IdempotencyKey) -> Self {
        let text = format!("{customer}\n{key}");
        Self::Key(ContentHash::of(text.as_bytes()))
    }
}

/// The crashes that one request caused, each by a distinct attempt. Merging a report is idempotent
/// and commutative.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonReport {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The attempts during which the upstream crashed.
    pub attempts: Vec<AttemptId>,
}
