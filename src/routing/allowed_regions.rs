//! The regions whose upstreams may serve the calls of a route or of a customer.

use indexmap::IndexSet;

use crate::units::RegionId;

/// The regions whose upstreams may serve calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region, also an unknown one.
    #[default]
    Any,
    /// These regions only.
    Only(IndexSet<RegionId>),
}

impl AllowedRegions {
    /// Whether upstreams of a region may serve calls; none if their region is unknown.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}
