//! Rate limits that upstreams advertise in their answers.

use crate::units::RequestsPerSecond;

/// The rate limit that an upstream advertises in an answer, in requests a second from all hosts
/// together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The answer tells nothing of the limit: it does not come from the upstream itself, or it has
    /// no limit and the request did not run.
    #[default]
    Absent,
    /// The upstream accepts any number of requests: it ran the request and advertised no limit.
    Unlimited,
    /// The upstream accepts this many requests a second.
    Limited(RequestsPerSecond),
    /// The limit is not a valid rate. Contains the start of its text.
    Malformed(String),
}
