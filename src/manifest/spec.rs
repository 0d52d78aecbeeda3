//! The manifest's fields.

use serde::Deserialize;
use serde::Serialize;

use crate::units::ByteSize;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;

/// All that operators publish.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The deployment's name, so that a manifest can't reach the wrong one.
    pub deployment: String,
    /// What this deployment weighs more heavily.
    #[serde(default)]
    pub objective: Objective,
    /// The models.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// The customers. One named `default` stands for all that are not listed.
    pub customers: Vec<CustomerSpec>,
    /// The priorities.
    pub priorities: Vec<PrioritySpec>,
    /// The limits on every request.
    #[serde(default)]
    pub limits: LimitsSpec,
    /// The weight store that engines load from.
    #[serde(default)]
    pub weight_store: WeightStoreSpec,
}

/// The measure that decisions lean towards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Short requests slow down as little as possible while long ones run.
    #[default]
    ShortSlowdown,
    /// The time to the first token over all lengths.
    FirstToken,
}

/// A model and the engines that serve it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name that callers use.
    pub name: TargetId,
    /// The version that engines should have loaded.
    pub version: String,
    /// Adapters on top of the model; callers name one as `MODEL:ADAPTER`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The role wanted of its engines.
    #[serde(default = "default_role")]
    pub role: String,
    /// The memory of one engine for keys and values.
    pub engine_memory_tokens: Tokens,
    /// How many attempts one engine batches.
    pub engine_slots: u32,
    /// The prefill speed of one engine, as a first estimate; it is corrected by what is seen.
    pub prefill_speed: TokensPerSecond,
    /// The longest prompt with its answer.
    pub context_tokens_max: Tokens,
    /// Whether the engines refuse orders that carry an old fencing number.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// The size of the weights, which loading takes from the weight store.
    #[serde(default)]
    pub weight_size: ByteSize,
    /// How many loaded engines a change must leave, in percent.
    #[serde(default = "default_loaded_percent_min")]
    pub loaded_percent_min: u8,
}

/// What engines do with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// They refuse it.
    Checked,
    /// They obey it.
    #[default]
    Ignored,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name, which is also the first part of the path.
    pub name: TargetId,
    /// Which calls may be sent to an upstream twice.
    #[serde(default)]
    pub repeatable: RepeatRule,
    /// Whether calls that are not repeatable must carry an idempotency key.
    #[serde(default)]
    pub key_required: bool,
    /// How many calls one upstream gets at once at most.
    pub concurrency_max: u32,
}

/// Which calls of a service may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// None.
    Never,
    /// GET, HEAD, PUT, DELETE and OPTIONS, which HTTP defines as idempotent.
    #[default]
    ByMethod,
    /// All.
    Always,
}

/// A customer's share of the fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// The customer.
    pub name: CustomerId,
    /// Its weight against other customers of the same priority.
    #[serde(default = "default_share")]
    pub share: u32,
    /// How many requests it may send, in the long run.
    pub rate: RequestsPerSecond,
    /// How many requests it may send at once beyond the rate.
    pub burst_requests: u32,
    /// The priority of its requests that name none; also the first that they may name.
    pub priority: String,
}

/// A priority.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// The name that customers and callers use.
    pub name: String,
    /// The rank; 0 first.
    pub rank: Priority,
}

/// Limits on every request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct LimitsSpec {
    /// The time limit of a request that names none.
    pub deadline_default_ms: u64,
    /// The longest time limit that a request may name.
    pub deadline_max_ms: u64,
    /// The longest answer of a request that names none.
    pub output_tokens_default: Tokens,
    /// The largest body.
    pub body_size_max: ByteSize,
}

/// What the weight store gives.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct WeightStoreSpec {
    /// The bytes a second that all engines of a failure domain may load together.
    pub load_size_per_second: ByteSize,
}

impl Default for WeightStoreSpec {
    fn default() -> Self {
        Self {
            load_size_per_second: ByteSize(1 << 30),
        }
    }
}

impl Default for LimitsSpec {
    fn default() -> Self {
        Self {
            deadline_default_ms: 60_000,
            deadline_max_ms: 3_600_000,
            output_tokens_default: Tokens(512),
            body_size_max: ByteSize(16 << 20),
        }
    }
}

pub(crate) fn default_role() -> String {
    "mixed".to_owned()
}

pub(crate) fn default_loaded_percent_min() -> u8 {
    75
}

pub(crate) fn default_share() -> u32 {
    1
}
