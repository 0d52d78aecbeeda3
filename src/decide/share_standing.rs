//! Whether a customer wants more of a service than its share.

/// What a customer wants of a service, compared with its share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShareStanding {
    /// What the customer wants of the service now, divided by its share; 1.0 or less if that is
    /// within the share.
    pub ratio: f64,
}

impl ShareStanding {
    /// The standing of a call without a customer, or of one of which nothing is known.
    pub fn within() -> Self {
        Self { ratio: 0.0 }
    }

    /// Whether the customer wants more than its share.
    pub fn is_above_share(self) -> bool {
        self.ratio > 1.0
    }
}
