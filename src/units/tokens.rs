//! Numbers of tokens.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;

use crate::units::macros::number_newtype;

number_newtype!(
    /// A number of tokens: of a prompt, of an answer, or of engine memory, which holds one key and
    /// value entry per token.
    Tokens,
    u64,
    "a count of tokens"
);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// The difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The number as a floating-point value, for rates.
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
