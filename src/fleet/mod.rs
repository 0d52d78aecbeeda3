//! Connects the controllers of homes and claims with peers, upstreams and the platform.

mod grant_waiters;
mod home_desk;
mod home_granter;
mod home_map;
mod upstream_registry;

pub use grant_waiters::GrantWaiters;
pub use home_desk::HomeDesk;
pub use home_desk::HomeDeskParts;
pub use home_granter::HomeGranter;
pub use home_granter::HomeGranterParts;
pub use home_map::HomeMap;
pub use upstream_registry::UpstreamRegistry;
