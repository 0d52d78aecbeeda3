//! How a manifest gets in force on every host.
//!
//! A few hosts of each failure domain watch the platform; the others hear of a new generation from
//! them and from each other, and fetch the parts that they lack. A host takes a generation only if
//! it is above the one that it has, and is ready only when it knows the newest.

mod action;
mod fetch;
mod knowledge;
mod machine;
mod parts;
mod watchers;

pub use action::ManifestAction;
pub use knowledge::ManifestRefusal;
pub use knowledge::ManifestStatus;
pub use machine::ManifestController;
pub use machine::ManifestRead;
pub use machine::ManifestValidator;
pub use parts::split;
pub use watchers::watchers;
