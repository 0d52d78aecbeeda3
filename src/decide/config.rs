//! The configuration that a policy takes from the manifest.

use indexmap::IndexMap;

use crate::decide::Tuning;
use crate::manifest::CustomerSpec;
use crate::manifest::Manifest;
use crate::manifest::ModelSpec;
use crate::manifest::Objective;
use crate::manifest::ServiceSpec;
use crate::units::CustomerId;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;

/// The name of the manifest entry that applies to all customers that are not listed.
const DEFAULT_CUSTOMER: &str = "default";

/// What a policy takes from the manifest for one pool: the thresholds, the kind of the upstreams,
/// and the weights and rates of customers.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// What the deployment optimizes for.
    pub objective: Objective,
    /// The thresholds that follow from the objective.
    pub tuning: Tuning,
    /// The kind of the pool's upstreams.
    pub kind: PoolKind,
    /// The shares of the listed customers, by name.
    pub customers: IndexMap<CustomerId, CustomerShare>,
    /// The share of a customer that is not listed.
    pub default_customer: CustomerShare,
    /// The common account of all customers that are not listed.
    pub default_account: CustomerId,
}

/// The kind of a pool's upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// The first estimate of the prefill speed of one engine.
        prefill_speed: TokensPerSecond,
        /// The longest context, prompt and answer together.
        context_tokens_max: Tokens,
    },
    /// Instances of a plain service.
    Service {
        /// The most concurrent calls to one instance.
        concurrency_max: u32,
    },
}

/// A customer's weight and rate limit in one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerShare {
    /// The customer's weight against other customers of the same priority.
    pub share: u32,
    /// This pool's fraction of the customer's request rate.
    pub rate: RequestsPerSecond,
    /// This pool's fraction of the customer's burst, at least one request.
    pub burst_requests: f64,
}

impl PolicyConfig {
    /// The configuration for a pool of `target`'s upstreams, or `None` if the manifest does not
    /// list the target. `pool_fraction` is the pool's fraction of all upstreams of the target, from
    /// 0 to 1. The manifest gives customers' rates for the whole fleet, so they are scaled by it.
    pub fn for_pool(manifest: &Manifest, target: &TargetId, pool_fraction: f64) -> Option<Self> {
        let kind = pool_kind(manifest, target)?;
        let share = |spec: &CustomerSpec| CustomerShare::of(spec, pool_fraction);
        let customers: IndexMap<_, _> = manifest
            .customers
            .iter()
            .map(|spec| (spec.name.clone(), share(spec)))
            .collect();
        let default_spec = manifest
            .customers
            .iter()
            .find(|spec| spec.name.as_str() == DEFAULT_CUSTOMER);
        let default_customer = default_spec.map_or_else(CustomerShare::unlisted, share);
        Some(Self {
            objective: manifest.objective,
            tuning: Tuning::of(manifest.objective),
            kind,
            customers,
            default_customer,
            default_account: DEFAULT_CUSTOMER.parse().ok()?,
        })
    }

    /// The share of `customer`, or the default share if the customer is not listed.
    pub fn customer(&self, customer: &CustomerId) -> CustomerShare {
        let listed = self.customers.get(customer).copied();
        listed.unwrap_or(self.default_customer)
    }
}

impl CustomerShare {
    fn of(spec: &CustomerSpec, pool_fraction: f64) -> Self {
        Self {
            share: spec.share.max(1),
            rate: RequestsPerSecond(spec.rate.0 * pool_fraction),
            burst_requests: (f64::from(spec.burst_requests) * pool_fraction).max(1.0),
        }
    }

    /// The share of a customer that no entry of the manifest covers: the lowest weight and no rate
    /// of its own, so that the customer is served only while there is spare capacity.
    fn unlisted() -> Self {
        Self {
            share: 1,
            rate: RequestsPerSecond(0.0),
            burst_requests: 1.0,
        }
    }
}

fn pool_kind(manifest: &Manifest, target: &TargetId) -> Option<PoolKind> {
    let model = manifest.models.iter().find(|spec| serves(spec, target));
    if let Some(spec) = model {
        return Some(PoolKind::Model {
            prefill_speed: spec.prefill_speed,
            context_tokens_max: spec.context_tokens_max,
        });
    }
    let service = manifest.services.iter().find(|spec| spec.name == *target);
    service.map(|spec: &ServiceSpec| PoolKind::Service {
        concurrency_max: spec.concurrency_max.max(1),
    })
}

/// Whether `target` is the model of `spec` or one of its adapters, written `MODEL:ADAPTER`.
fn serves(spec: &ModelSpec, target: &TargetId) -> bool {
    let Some(rest) = target.as_str().strip_prefix(spec.name.as_str()) else {
        return false;
    };
    let is_adapter = |name: &str| spec.adapters.iter().any(|adapter| adapter == name);
    rest.is_empty() || rest.strip_prefix(':').is_some_and(is_adapter)
}
