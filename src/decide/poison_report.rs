//! Requests that crash upstreams, as hosts tell each other of them.

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::IdempotencyKey;

/// What a request is recognised by when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestFingerprint {
    /// The hash of its body.
    Content(ContentHash),
    /// The hash of its customer and idempotency key.
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

/// Crashes that one request caused, each by a distinct attempt. Hosts send it to each other; taking
/// one in twice, or in another order, changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The attempts whose upstream crashed.
    pub attempts: Vec<AttemptId>,
}
