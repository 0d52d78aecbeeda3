//! Actions of the manifest controller.

use crate::manifest::ManifestInForce;
use crate::peer::Message;
use crate::units::HostId;

/// An action that the manifest controller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ManifestAction {
    /// Send a message without waiting; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Read the manifest from the platform after a short random delay, and pass the result to
    /// [`on_platform_read`](super::ManifestController::on_platform_read).
    ReadPlatform,
    /// Put a manifest in force on this host.
    PutInForce(ManifestInForce),
}
