//! What an upstream's answer says of the requests that it takes.

use crate::units::RequestsPerSecond;

/// What an upstream's answer says of the requests a second that it takes from all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing that counts: the answer is not the upstream's own, or the request did not run.
    #[default]
    Absent,
    /// It takes as many as come.
    Unlimited,
    /// It takes this many.
    Limited(RequestsPerSecond),
    /// It says something that is no rate; the start of the text.
    Malformed(String),
}
