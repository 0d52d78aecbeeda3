//! Simulations that run the real state machines under generated faults. Each simulation records
//! what happened and checks its invariants at the end.

pub(crate) mod answer_world;
pub(crate) mod claim_history;
pub(crate) mod claim_world;
pub(crate) mod drain_world;
pub(crate) mod entry_host;
pub(crate) mod grant_world;
pub(crate) mod manifest_world;
