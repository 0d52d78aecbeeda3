//! Orders to engines under a lease.
//!
//! Level-triggered: what the manifest wants is compared with what engines report, again and again;
//! nothing depends on an order or its answer having arrived. Orders go out only under the pool's
//! lease in the platform, whose object version is the fencing number. Without a lease nothing is
//! ordered, and serving goes on.

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
