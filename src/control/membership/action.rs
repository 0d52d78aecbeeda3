//! Actions of the membership.

use std::time::Duration;

use crate::cluster_view::HostView;
use crate::peer::Message;
use crate::peer::message::PoisonNotice;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// An action that the membership requests.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message without waiting; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// A host is new, or its view has changed.
    HostChanged {
        /// The current view of the host.
        view: HostView,
    },
    /// A dead host was removed from the list of known hosts.
    HostRemoved {
        /// The removed host.
        host: HostId,
    },
    /// This process resumed after a pause. Other hosts may have taken over its homes, so it must
    /// drop them.
    ResumedAfterPause {
        /// The length of the pause.
        paused: Duration,
    },
    /// Other hosts declared this host dead and have taken over its homes, so it must drop them.
    DeclaredDead,
    /// An upstream is leaving, as of a version of its object in the platform.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// The version of its object.
        version: ObjectVersion,
    },
    /// A request crashed an upstream.
    Poison {
        /// All attempts of the request that are known to have crashed an upstream.
        notice: PoisonNotice,
    },
}
