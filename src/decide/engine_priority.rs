//! The rank that an engine is given for a request.

use crate::decide::LengthClass;
use crate::decide::Work;
use crate::units::Priority;

/// Engine ranks inside one priority of the manifest, one for each length class.
const CLASSES: u8 = 4;

/// The rank for `X-Priority`: by the manifest's priority first, then the shorter class first.
///
/// Load it answers: a long prefill in chunks on the same engine as short prompts. Engines that
/// honour priorities then read the short prompt in between two chunks, not beside all of them.
pub fn engine_priority(work: &Work) -> Priority {
    let class = match work.class() {
        LengthClass::Short => 0,
        LengthClass::Medium => 1,
        LengthClass::Long => 2,
        LengthClass::Huge => 3,
    };
    Priority(
        work.priority
            .0
            .saturating_mul(CLASSES)
            .saturating_add(class),
    )
}
