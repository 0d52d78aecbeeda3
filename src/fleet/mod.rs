//! Connects the controllers of homes, claims and the membership with peers, upstreams and the
//! platform.

mod grant_waiters;
mod home_desk;
mod home_granter;
mod home_map;
mod home_table;
mod live_grants;
mod manifest_desk;
mod membership_desk;
mod order_desk;
mod peer_desk;
pub mod poison_wire;
mod relay_platform;
mod upstream_registry;

pub use grant_waiters::GrantWaiters;
pub use home_desk::HomeRunner;
pub use home_desk::HomeRunnerParts;
pub use home_granter::HomeGranter;
pub use home_granter::HomeGranterParts;
pub use home_map::HomeDirectory;
pub use home_table::ClusterHomeDirectory;
pub use live_grants::LiveGrants;
pub use manifest_desk::ManifestRunner;
pub use manifest_desk::ManifestRunnerParts;
pub use membership_desk::MembershipEvent;
pub use membership_desk::MembershipRunner;
pub use order_desk::ReconcilerRunner;
pub use order_desk::ReconcilerRunnerParts;
pub use peer_desk::MembershipEventHandler;
pub use peer_desk::PeerMessageRouter;
pub use relay_platform::RelayPlatformClient;
pub use relay_platform::RelayPlatformClientParts;
pub use upstream_registry::UpstreamRegistry;
