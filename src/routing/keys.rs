//! The API keys of customers, the regions that customers allow, and their priorities.

use indexmap::IndexMap;

use crate::routing::AllowedRegions;
use crate::units::CustomerId;
use crate::units::Priority;

/// The keys in force. If the manifest names no customers, calls need no key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerKeys {
    by_key: IndexMap<String, CustomerId>,
    is_required: bool,
    allowed_regions: IndexMap<CustomerId, AllowedRegions>,
    priorities: IndexMap<CustomerId, Priority>,
}

impl CustomerKeys {
    /// Creates a set of keys, one of which each caller must present.
    pub fn required(by_key: IndexMap<String, CustomerId>) -> Self {
        Self {
            by_key,
            is_required: true,
            allowed_regions: IndexMap::new(),
            priorities: IndexMap::new(),
        }
    }

    /// Sets the regions whose upstreams may serve the calls of a customer.
    pub fn set_allowed_regions(&mut self, customer: CustomerId, regions: AllowedRegions) {
        self.allowed_regions.insert(customer, regions);
    }

    /// The regions whose upstreams may serve the calls of a customer.
    pub fn allowed_regions(&self, customer: &CustomerId) -> AllowedRegions {
        let regions = self.allowed_regions.get(customer);
        regions.cloned().unwrap_or_default()
    }

    /// Sets the priority of the calls of a customer.
    pub fn set_priority(&mut self, customer: CustomerId, priority: Priority) {
        self.priorities.insert(customer, priority);
    }

    /// The priority of the calls of a customer; none if the manifest lists none.
    pub fn priority(&self, customer: &CustomerId) -> Option<Priority> {
        self.priorities.get(customer).copied()
    }

    /// Whether calls need a key.
    pub fn is_required(&self) -> bool {
        self.is_required
    }

    /// The customer that holds a key; none if the key is not in force.
    pub fn customer(&self, key: &str) -> Option<&CustomerId> {
        self.by_key.get(key)
    }

    /// The customers that hold a key in force. One that holds several comes several times.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.by_key.values()
    }

    /// The number of keys in force.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key is in force.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
