//! Why a read returned no list of the platform.

use crate::gateway::CatalogError;

/// Why a read returned no list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// A call to the platform failed.
    Catalog(CatalogError),
    /// No other host has a fresh list; the platform was not called.
    PeersStale,
    /// Another host has found that the platform has no such list; it was not called.
    Absent,
}

impl From<CatalogError> for ReadError {
    fn from(err: CatalogError) -> Self {
        Self::Catalog(err)
    }
}
