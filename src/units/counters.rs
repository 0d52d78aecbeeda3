//! Counters that only grow, and the priority of a request.

use crate::units::macros::number_newtype;

number_newtype!(
    /// The number of an accepted manifest. A higher generation replaces all lower ones.
    Generation,
    u64,
    "a generation number"
);
number_newtype!(
    /// The number of times a host has started or refuted a suspicion. The state with the higher
    /// incarnation is the newer one.
    Incarnation,
    u64,
    "an incarnation number"
);
number_newtype!(
    /// The number in an order to an engine that grows with each lease. An engine that compares it
    /// with the highest number seen refuses orders of an earlier lease holder.
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
    /// The number of times the platform's store was restored from an older copy of itself, which
    /// sets its revisions back.
    StoreEra,
    u16,
    "an era from 0 to 65535"
);
number_newtype!(
    /// The priority of a request; 0 is served first.
    Priority,
    u8,
    "a priority from 0 (first) to 255"
);

/// The number of bits of a version that hold the revision; the era takes the bits above. At a
/// thousand writes per second, a store exhausts this range of revisions in 8,000 years.
const REVISION_BITS: u32 = 48;

impl ObjectVersion {
    /// The version of a revision in a given era. Versions of a later era are greater than those of
    /// an earlier one, whatever their revisions. Only the lowest 48 bits of the revision are kept.
    pub fn in_era(era: StoreEra, revision: u64) -> Self {
        let revision = revision & ((1 << REVISION_BITS) - 1);
        Self(u64::from(era.0) << REVISION_BITS | revision)
    }

    /// The era of the store.
    pub fn era(self) -> StoreEra {
        StoreEra(u16::try_from(self.0 >> REVISION_BITS).unwrap_or(u16::MAX))
    }

    /// The revision within the era.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

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
