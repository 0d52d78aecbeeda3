//! Whether a call may be sent, as far as it may crash upstreams.

use crate::decide::QuarantinedParts;

/// Whether a call may be sent to upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// Nothing is known against it.
    Admit,
    /// Upstreams have ended under earlier calls with this request, and none has answered it since. The
    /// call may run on one upstream only.
    AdmitOnce,
    /// It is refused.
    Refuse(QuarantinedParts),
    /// Calls with these parts were refused for long enough. One call of all hosts may show whether they
    /// still crash upstreams, and the others are refused meanwhile.
    Probe(QuarantinedParts),
}
