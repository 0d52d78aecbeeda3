//! Small worlds in which generated faults happen to the real state machines. Each records what
//! happened and checks at its end what must hold.

pub(crate) mod answer_world;
pub(crate) mod claim_history;
pub(crate) mod claim_world;
pub(crate) mod drain_world;
pub(crate) mod entry_host;
pub(crate) mod grant_world;
pub(crate) mod manifest_world;
