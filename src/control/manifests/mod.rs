//! How a manifest gets in force on every host.
//!
//! A few hosts of each failure domain watch the platform; the others hear of a new generation from
//! them and from each other, and fetch the parts that they lack. A host takes a generation only if
//! it is above the one that it has, and is ready only when it knows the newest.

mod action;
mod controller;
mod fetch;
mod manifest_status;
mod parts;
mod watchers;

pub use action::ManifestAction;
pub use controller::ManifestController;
pub use controller::ManifestRead;
pub use controller::ManifestValidator;
pub use manifest_status::ManifestRefusal;
pub use manifest_status::ManifestStatus;
pub use parts::split_into_parts;
pub use watchers::watchers;
