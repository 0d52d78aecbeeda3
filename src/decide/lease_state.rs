//! Whether a host may send requests by something that it has learnt from the platform some time ago.

use std::time::Duration;

/// How long a host must be in contact with the platform before an expired lease binds it. A host that
/// was cut off and is back needs about a second to read the lists again, and callers that it
/// refuses until then would gain nothing.
pub const BINDING_CONTACT: Duration = Duration::from_secs(2);

/// The state of a lease that binds only hosts in contact with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// What the host knows is recent enough.
    Held,
    /// What the host knows is too old, but it is cut off or has just come back, so it goes on by what
    /// it knows.
    Waived,
    /// What the host knows is too old, and others in contact with the platform may know better.
    Expired,
}

impl LeaseState {
    /// The state of a lease. `contact` is how long the host has been in contact with the platform;
    /// none while it is not.
    pub fn of(is_recent: bool, contact: Option<Duration>) -> Self {
        if is_recent {
            Self::Held
        } else if contact.is_some_and(|lasted| lasted >= BINDING_CONTACT) {
            Self::Expired
        } else {
            Self::Waived
        }
    }

    /// Whether requests may be sent.
    pub fn allows_sends(self) -> bool {
        self != Self::Expired
    }

    /// The name of the state in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Waived => "waived",
            Self::Expired => "expired",
        }
    }
}
