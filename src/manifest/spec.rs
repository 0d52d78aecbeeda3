//! The fields of the manifest and their defaults.

use serde::Deserialize;
use serde::Serialize;

use crate::units::ByteSize;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;

/// The manifest that operators publish for one deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The name of the deployment. It guards against a manifest that reaches another deployment.
    pub deployment: String,
    /// The measure that this deployment optimizes for.
    #[serde(default)]
    pub objective: Objective,
    /// The models that the fleet serves.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The plain services that the fleet serves, which are HTTP services without a model.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// The customers. The one named `default` applies to all customers that are not listed.
    pub customers: Vec<CustomerSpec>,
    /// The priorities of requests.
    pub priorities: Vec<PrioritySpec>,
    /// The limits that apply to every request.
    #[serde(default)]
    pub limits: LimitsSpec,
    /// The weight store that engines load models from.
    #[serde(default)]
    pub weight_store: WeightStoreSpec,
}

/// The measure that scheduling decisions optimize for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The slowdown of short requests while long ones run, as low as possible.
    #[default]
    ShortSlowdown,
    /// The time to first token over prompts of all lengths, as low as possible.
    FirstToken,
}

/// A model with its version and adapters, and what its engines need and are assumed to do, such as
/// their role, memory, slots, speed and context length.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name that callers request.
    pub name: TargetId,
    /// The version that engines should load.
    pub version: String,
    /// The adapters of the model. Callers request one as `MODEL:ADAPTER`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The role that the engines of the model should take, such as `mixed`.
    #[serde(default = "default_role")]
    pub role: String,
    /// The capacity of one engine's key-value cache, in tokens.
    pub engine_memory_tokens: Tokens,
    /// The maximum number of attempts that one engine runs in a batch.
    pub engine_slots: u32,
    /// The initial estimate of one engine's prefill speed. Observed speeds correct it.
    pub prefill_speed: TokensPerSecond,
    /// The maximum length of a prompt together with its answer, in tokens.
    pub context_tokens_max: Tokens,
    /// Whether the engines refuse orders with an outdated fencing number.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// The size of the weights that an engine reads from the weight store to load the model.
    #[serde(default)]
    pub weight_size: ByteSize,
    /// The share of engines that must stay loaded during a change, in percent.
    #[serde(default = "default_loaded_percent_min")]
    pub loaded_percent_min: u8,
}

/// How engines handle an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// Engines refuse the order.
    Checked,
    /// Engines execute the order.
    #[default]
    Ignored,
}

/// A plain service, which is an HTTP service without a model, and how its calls are sent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service, which is also the first segment of the path of its calls.
    pub name: TargetId,
    /// Which calls may be sent to an upstream again after a failure.
    #[serde(default)]
    pub repeatable: RepeatRule,
    /// Whether calls that are not repeatable must carry an idempotency key.
    #[serde(default)]
    pub key_required: bool,
    /// The maximum number of concurrent calls to one upstream.
    pub concurrency_max: u32,
}

/// Which calls of a service may be sent again after a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// No call.
    Never,
    /// GET, HEAD, PUT, DELETE and OPTIONS, which HTTP defines as idempotent.
    #[default]
    ByMethod,
    /// Every call.
    Always,
}

/// A customer with its share among the customers of the same priority, its rate limit and burst,
/// and the priority that its requests get by default and cannot exceed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// The name of the customer.
    pub name: CustomerId,
    /// The customer's weight relative to other customers of the same priority.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The rate limit of the customer's requests, averaged over time.
    pub rate: RequestsPerSecond,
    /// The number of requests that the customer may send at once beyond the rate.
    pub burst_requests: u32,
    /// The priority of the customer's requests that name none. Requests can't name a higher one.
    pub priority: String,
}

/// A priority of requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// The name by which customers and callers refer to the priority.
    pub name: String,
    /// The rank; requests with rank 0 are served first.
    pub rank: Priority,
}

/// The limits that apply to every request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct LimitsSpec {
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_default_ms: u64,
    /// The longest deadline that a request may name, in milliseconds.
    pub deadline_max_ms: u64,
    /// The maximum length of the answer to a request that names none, in tokens.
    pub output_tokens_default: Tokens,
    /// The maximum size of a request body.
    pub body_size_max: ByteSize,
}

/// The capacity of the weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(default)]
pub struct WeightStoreSpec {
    /// The bytes per second that all engines of a failure domain together may load.
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
