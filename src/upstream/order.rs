//! Orders to model engines.

use crate::units::FencingNumber;

/// An order: the end state wanted of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The number that engines which check it compare with the highest seen.
    pub fencing: FencingNumber,
    /// The wanted state.
    pub state: EngineState,
}

/// What an engine has, or should have, loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// The model's name.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// The adapters on top of it, sorted by name.
    pub adapters: Vec<String>,
    /// The engine's role, such as `mixed`, `prefill` or `decode`.
    pub role: String,
    /// Whether a load is going on; never set in an order.
    #[serde(default)]
    pub loading: bool,
}
