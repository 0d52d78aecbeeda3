//! The way by which an upstream was reached.

use crate::decide::UpstreamFault;
use crate::gateway::tunnel::TunnelStatus;
use crate::units::HostId;

/// The way by which a connection reaches an upstream.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamPath {
    /// The connection goes to the upstream itself.
    Direct,
    /// The connection goes through another host.
    Tunnel {
        /// The host that provides the tunnel.
        via: HostId,
        /// Whether the tunnel is lost.
        status: TunnelStatus,
    },
}

impl UpstreamPath {
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self, Self::Direct)
    }

    /// The host that provides the tunnel; none if the connection is direct.
    pub(crate) fn via(&self) -> Option<&HostId> {
        match self {
            Self::Direct => None,
            Self::Tunnel { via, .. } => Some(via),
        }
    }

    /// Whether the connection has ended with its tunnel, which says nothing about the upstream.
    pub(crate) fn is_lost(&self) -> bool {
        match self {
            Self::Direct => false,
            Self::Tunnel { status, .. } => status.is_lost(),
        }
    }

    /// What the failure of a response on the connection means: `fault`, unless the tunnel is lost.
    pub(crate) fn fault(&self, fault: UpstreamFault) -> UpstreamFault {
        if self.is_lost() {
            UpstreamFault::TunnelLost
        } else {
            fault
        }
    }
}
