//! Connects the controllers of homes, manifests, engines and the membership with peers, upstreams
//! and the platform.
//!
//! The controllers in [`crate::control`] are state machines without I/O. The runners of this module
//! give them events, and perform the actions that they return.

mod cluster_home_directory;
mod grant_waiters;
mod home_directory;
mod home_granter;
mod home_runner;
mod live_grants;
mod manifest_runner;
mod membership_runner;
mod peer_message_router;
pub mod poison_wire;
mod reconciler_runner;
mod relay_platform_client;
mod upstream_registry;

pub use cluster_home_directory::ClusterHomeDirectory;
pub use grant_waiters::GrantWaiters;
pub use home_directory::HomeDirectory;
pub use home_granter::HomeGranter;
pub use home_granter::HomeGranterParts;
pub use home_runner::HomeRunner;
pub use home_runner::HomeRunnerParts;
pub use live_grants::LiveGrants;
pub use manifest_runner::ManifestRunner;
pub use manifest_runner::ManifestRunnerParts;
pub use membership_runner::MembershipEvent;
pub use membership_runner::MembershipRunner;
pub use peer_message_router::MembershipEventHandler;
pub use peer_message_router::PeerMessageRouter;
pub use reconciler_runner::ReconcilerRunner;
pub use reconciler_runner::ReconcilerRunnerParts;
pub use relay_platform_client::RelayPlatformClient;
pub use relay_platform_client::RelayPlatformClientParts;
pub use upstream_registry::UpstreamRegistry;
