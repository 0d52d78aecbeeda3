//! CPU shares.

use crate::units::macros::number_newtype;

number_newtype!(
    /// A CPU share in thousandths of a core.
    Millicores,
    u32,
    "a CPU share in thousandths of a core"
);

impl Millicores {
    /// Converts a number of cores, rounded to thousandths; none if the result is below one
    /// thousandth or too large.
    pub fn from_cores(cores: f64) -> Option<Self> {
        let thousandths = (cores * 1e3).round();
        if !(1.0..=f64::from(u32::MAX)).contains(&thousandths) {
            return None;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = thousandths as u32;
        Some(Self(thousandths))
    }
}
