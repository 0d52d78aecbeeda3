//! Headers in responses of upstreams that this system does not know. What an upstream states in one
//! of them has no effect, so operators are told that it came.

use hyper::HeaderMap;

use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::observe::Sighting;
use crate::units::UpstreamId;

/// The label in the metrics of names that are not remembered.
const OTHER_NAMES: &str = "other";

impl Gateway {
    /// Counts the headers of a response that this system does not know, and logs each name once.
    pub(crate) fn count_unknown_headers(&self, upstream: &UpstreamId, headers: &HeaderMap) {
        let unknown = headers
            .keys()
            .filter(|name| !self.header_codec.is_known_response_header(name));
        for name in unknown {
            let sighting = self.unknown_headers.record(name.as_str());
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
