//! The platform's object service as an interface.
//!
//! The wire form follows the published conventions of the Kubernetes object API (resources with
//! `metadata.resourceVersion`, conditional updates that answer 409, watches as lines of JSON), of
//! which only get, list, create, replace and watch are used. docs/PROTOCOLS.md gives the details.

mod error;
mod http;
mod object;

use std::time::Duration;

use futures_util::future::BoxFuture;

pub use error::PlatformError;
pub use http::HttpPlatformClient;
pub use object::Object;
pub use object::ObjectKey;
pub use object::ObjectKind;
pub use object::ObjectList;
pub use object::Precondition;

use crate::units::ObjectVersion;

/// The platform's object service. Each call counts against its rates, a waiting watch as one.
pub trait PlatformClient: Send + Sync {
    /// Reads one object.
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>>;

    /// Writes one object if it still is what the caller expects, and returns its new version.
    fn put(
        &self,
        key: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>>;

    /// Reads all objects of a kind.
    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>>;

    /// Waits until objects of a kind change after `after`, at most `wait`. Returns what changed,
    /// empty when nothing did.
    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>>;
}
