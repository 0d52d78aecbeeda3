//! The client of the platform's object service.
//!
//! The protocol follows the published conventions of the Kubernetes object API: resources with
//! `metadata.resourceVersion`, conditional updates that fail with status 409, and watches as lines
//! of JSON. Only get, list, create, replace and watch are used. docs/PROTOCOLS.md gives the
//! details.

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

/// A client of the platform's object service. Each call counts against the rate limits of the
/// service; a watch counts as one call, however long it waits.
pub trait PlatformClient: Send + Sync {
    /// Reads one object.
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Object, PlatformError>>;

    /// Writes one object if the precondition holds, and returns the new version of the object. If
    /// the precondition does not hold, the error is [`PlatformError::Conflict`], or
    /// [`PlatformError::NotFound`] if the object to replace does not exist.
    fn put(
        &self,
        key: ObjectKey,
        value: serde_json::Value,
        expected: Precondition,
    ) -> BoxFuture<'_, Result<ObjectVersion, PlatformError>>;

    /// Reads all objects of a kind.
    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<ObjectList, PlatformError>>;

    /// Waits, for at most `wait`, until objects of a kind change after version `after`. Returns the
    /// changed objects without deleted ones; the list is empty if none has changed.
    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectList, PlatformError>>;
}
