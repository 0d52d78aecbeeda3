//! Numbers that only grow, and the rank of a request.

use crate::units::macros::number_newtype;

number_newtype!(
    /// The number of an accepted manifest. A later one replaces every earlier one.
    Generation,
    u64,
    "a generation number"
);
number_newtype!(
    /// How often a host has started or refuted a suspicion; the larger one is the newer word.
    Incarnation,
    u64,
    "an incarnation number"
);
number_newtype!(
    /// The number an order carries, so that an engine can refuse one from an earlier lease holder.
    FencingNumber,
    u64,
    "a fencing number"
);
number_newtype!(
    /// The version of an object in the platform.
    ObjectVersion,
    u64,
    "an object version"
);
number_newtype!(
    /// The rank of a request; 0 is served first.
    Priority,
    u8,
    "a priority from 0 (first) to 255"
);

impl Generation {
    /// The generation that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// The incarnation that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
