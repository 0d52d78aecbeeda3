//! What the membership wants done.

use std::time::Duration;

use crate::cluster_view::HostView;
use crate::peer::Message;
use crate::peer::message::PoisonNotice;
use crate::units::HostId;
use crate::units::ObjectVersion;
use crate::units::UpstreamId;

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message without waiting; it may be lost.
    Send {
        /// To whom.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Something of a host has changed, or it is new.
    HostChanged {
        /// The host as it is seen now.
        view: HostView,
    },
    /// A dead host is forgotten.
    HostRemoved {
        /// The host.
        host: HostId,
    },
    /// This process was paused. Others may have taken over what it held: drop it.
    ResumedAfterPause {
        /// For how long.
        paused: Duration,
    },
    /// The others took this host for dead and have taken over what it held: drop it.
    DeclaredDead,
    /// An upstream is leaving, as of a version of its object in the platform.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// The version.
        version: ObjectVersion,
    },
    /// A request crashed an upstream.
    Poison {
        /// What is known of it.
        notice: PoisonNotice,
    },
}
