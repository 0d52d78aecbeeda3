//! Names that other systems choose, and that are reported the first time each is seen.

use std::sync::Mutex;
use std::sync::PoisonError;

use indexmap::IndexSet;

/// Largest number of names that are remembered. What other systems send must not grow the memory of
/// this one, nor the number of series in its metrics.
const NAMES_MAX: usize = 32;

/// Whether a name was seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// The name is new, and is remembered from now on.
    First,
    /// The name is remembered.
    Repeated,
    /// The name is not remembered, since 32 others are.
    Unrecorded,
}

/// The names that were seen.
#[derive(Debug, Default)]
pub struct SeenNames(Mutex<IndexSet<String>>);

impl SeenNames {
    /// Records that a name was seen.
    pub fn record(&self, name: &str) -> Sighting {
        let mut names = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            Sighting::Repeated
        } else if names.len() >= NAMES_MAX {
            Sighting::Unrecorded
        } else {
            names.insert(name.to_owned());
            Sighting::First
        }
    }
}
