//! Headers in responses of upstreams that this system does not know. What an upstream states in one
//! of them has no effect, so operators are told that it came.

use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use indexmap::IndexSet;

use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::units::UpstreamId;

/// Largest number of unknown names that get a label of their own in the metrics.
const NAMES_MAX: usize = 32;
/// The label of all further names.
const OTHER_NAMES: &str = "other";

/// Whether a header name was seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sighting {
    /// The name is new and recorded.
    First,
    /// The name was recorded before.
    Repeated,
    /// [`NAMES_MAX`] other names are recorded.
    Unrecorded,
}

/// The names of unknown headers that have come in responses of upstreams.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(Mutex<IndexSet<HeaderName>>);

impl UnknownHeaders {
    fn record(&self, name: &HeaderName) -> Sighting {
        let mut names = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            Sighting::Repeated
        } else if names.len() >= NAMES_MAX {
            Sighting::Unrecorded
        } else {
            names.insert(name.clone());
            Sighting::First
        }
    }
}

impl Gateway {
    /// Counts the headers of a response that this system does not know, and logs each name once.
    pub(crate) fn count_unknown_headers(&self, upstream: &UpstreamId, headers: &HeaderMap) {
        let unknown = headers
            .keys()
            .filter(|name| !self.header_codec.is_known_response_header(name));
        for name in unknown {
            let sighting = self.unknown_headers.record(name);
            let label = match sighting {
                Sighting::First | Sighting::Repeated => name.as_str(),
                Sighting::Unrecorded => OTHER_NAMES,
            };
            self.metrics.record_unknown_header(label);
            if sighting == Sighting::First {
                self.log.record(DecisionEvent::UnknownHeader {
                    upstream: upstream.to_string(),
                    header: name.to_string(),
                });
            }
        }
    }
}
