//! Whether the rate limit of an upstream allows another request.

/// Whether the rate limit of an upstream allows another request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitState {
    /// The upstream has named no limit.
    #[default]
    Unlimited,
    /// The limit allows another request.
    Open,
    /// All hosts together have used up the limit.
    Exhausted,
}
