//! Orders to engines under a lease.
//!
//! The reconciliation is level-triggered: the state that the manifest asks for is periodically
//! compared with the state that the engines report, and nothing depends on the arrival of an order
//! or its answer. Orders are sent only under the lease of the pool in the platform, whose object
//! version is the fencing number. Without a lease no order is sent, and serving continues.

mod lease;
mod plan;
mod reconciler;

pub use lease::Lease;
pub use lease::LeaseAction;
pub use lease::LeaseSpec;
pub use plan::DesiredEngines;
pub use plan::ObservedEngine;
pub use plan::engines_to_order;
pub use reconciler::EngineReconciler;
pub use reconciler::ReconcilerAction;
pub use reconciler::ReconcilerConf;
