//! Customers by their secret keys.

use indexmap::IndexMap;

use crate::units::CustomerId;

/// The keys in force. A manifest that names no customers asks for no keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerKeys {
    by_key: IndexMap<String, CustomerId>,
    is_required: bool,
}

impl CustomerKeys {
    /// Keys that callers must give.
    pub fn required(by_key: IndexMap<String, CustomerId>) -> Self {
        Self {
            by_key,
            is_required: true,
        }
    }

    /// Whether calls need a key at all.
    pub fn is_required(&self) -> bool {
        self.is_required
    }

    /// Who holds a key.
    pub fn customer(&self, key: &str) -> Option<&CustomerId> {
        self.by_key.get(key)
    }

    /// How many keys are in force.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key is in force.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
