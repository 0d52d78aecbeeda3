//! The model, adapter or service that a target name refers to.

use crate::manifest::ModelSpec;
use crate::manifest::ServiceSpec;

/// The model, adapter or service that a target name of a caller refers to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target<'a> {
    /// A model without an adapter.
    Model(&'a ModelSpec),
    /// A model with an adapter.
    Adapter {
        /// The model that the adapter belongs to.
        model: &'a ModelSpec,
        /// The name of the adapter.
        adapter: &'a str,
    },
    /// A plain service, which is an HTTP service without a model.
    Service(&'a ServiceSpec),
}
