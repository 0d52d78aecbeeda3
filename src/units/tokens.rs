//! Counts of tokens.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;

use crate::units::macros::number_newtype;

number_newtype!(
    /// A count of tokens: of a prompt, of an answer, or of engine memory, which holds one key and
    /// value entry a token.
    Tokens,
    u64,
    "a count of tokens"
);

impl Tokens {
    /// None.
    pub const ZERO: Self = Self(0);

    /// The difference, or none where `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// As a floating-point number, for rates.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}
