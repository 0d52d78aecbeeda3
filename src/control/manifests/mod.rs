//! Distribution of manifests to all hosts.
//!
//! A few hosts of each failure domain watch the platform. The other hosts learn of a new generation
//! from the watchers and from each other, and fetch the parts that they lack. A host accepts a
//! generation only if it is above the one in force. It is ready only with the generation that the
//! platform names, or with the newest one among most hosts of its failure domain.

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
