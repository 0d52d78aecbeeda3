//! The priority that is passed to an engine with a request.

use crate::decide::LengthClass;
use crate::decide::Work;
use crate::units::Priority;

/// The number of length classes, and so of engine priorities for each priority of the manifest.
const CLASSES: u8 = 4;

/// The value of the header `X-Priority` for an engine; 0 is served first. Requests are ordered by
/// the manifest's priority and then by length class, the shortest first.
///
/// Engines that honour priorities then read a short prompt between two chunks of a long prefill
/// instead of alongside all of its chunks.
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
