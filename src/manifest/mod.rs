//! The manifest: the models, services, customers, priorities and limits that operators publish for
//! a deployment.

mod conflicts;
mod errors;
mod lookup;
mod manifest_in_force;
mod parse;
mod published;
mod spec;
mod target;

pub use errors::ManifestErrors;
pub use manifest_in_force::ManifestInForce;
pub use published::MANIFEST_OBJECT_NAME;
pub use published::PublishedManifest;
pub use spec::CustomerSpec;
pub use spec::FencingSupport;
pub use spec::LimitsSpec;
pub use spec::Manifest;
pub use spec::ModelSpec;
pub use spec::Objective;
pub use spec::PrioritySpec;
pub use spec::RepeatRule;
pub use spec::ServiceSpec;
pub use spec::WeightStoreSpec;
pub use target::Target;
