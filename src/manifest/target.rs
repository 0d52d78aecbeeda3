//! What a caller's target name stands for.

use crate::manifest::ModelSpec;
use crate::manifest::ServiceSpec;

/// What a caller's target name stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target<'a> {
    /// A model.
    Model(&'a ModelSpec),
    /// An adapter on top of a model.
    Adapter {
        /// The model.
        model: &'a ModelSpec,
        /// The adapter's name.
        adapter: &'a str,
    },
    /// A plain service.
    Service(&'a ServiceSpec),
}
