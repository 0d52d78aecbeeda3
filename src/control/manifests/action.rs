//! What the spreading of manifests wants done.

use crate::manifest::ManifestInForce;
use crate::peer::Message;
use crate::units::HostId;

/// What the spreading of manifests wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ManifestAction {
    /// Send a message without waiting; it may be lost.
    Send {
        /// To whom.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Read the manifest from the platform after a short random wait, and tell what it says.
    ReadPlatform,
    /// Put a manifest in force on this host.
    PutInForce(ManifestInForce),
}
