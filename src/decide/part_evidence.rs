//! What hosts tell each other about parts of prompts.

use std::time::Duration;

use crate::decide::CrashSuspect;
use crate::decide::LostCall;
use crate::decide::PartTries;
use crate::decide::RequestPart;
use crate::units::CrashId;

/// What hosts tell each other about parts of prompts, with the age of the observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartEvidence {
    /// A call may have crashed an upstream.
    Crash(CrashSuspect, Duration),
    /// The same of a call with a part that crashes upstreams although some tries with it are served.
    Counted(CrashSuspect, Duration),
    /// What a host has seen of the tries with a part.
    Tries(PartTries),
    /// A call was lost with an upstream, or had ended there shortly before.
    Lost(LostCall, Duration),
    /// A request that was lost as often as begins a quarantine was lost in this crash, too, which counts
    /// separately from the others.
    Suspected(LostCall, Duration),
    /// An upstream has ended, as an attempt to connect to it has shown.
    Ended(CrashId, Duration),
    /// An upstream has answered a call that was sent after its connections broke: it has not crashed.
    Alive(CrashId, Duration),
    /// A request with this part was served to its end.
    Served(RequestPart, Duration),
    /// A request with this part was served to its end, and the part was refused or suspected until
    /// then. Hosts tell this at once.
    Released(RequestPart, Duration),
}
