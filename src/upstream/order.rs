//! Orders to model engines.

use crate::units::FencingNumber;

/// The desired state of an engine, sent by the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The fencing number. An engine that checks it refuses an order whose number is lower than the
    /// highest that the engine has seen.
    pub fencing: FencingNumber,
    /// The desired state.
    pub state: EngineState,
}

/// What an engine has loaded, or should load: the model with its version, the adapters and the
/// role. A report also says whether the engine is still loading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineState {
    /// The name of the model.
    pub model: String,
    /// The version of the model.
    pub version: String,
    /// The adapters on top of the model, sorted by name.
    pub adapters: Vec<String>,
    /// The role of the engine, such as `mixed`, `prefill` or `decode`.
    pub role: String,
    /// Whether the engine is currently loading; never set in an order.
    #[serde(default)]
    pub loading: bool,
}
