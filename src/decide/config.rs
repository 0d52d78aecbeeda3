//! What a policy takes from the manifest.

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

/// The customer that stands for all that the manifest does not list.
const DEFAULT_CUSTOMER: &str = "default";

/// The manifest as far as it concerns one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// What the deployment weighs more heavily.
    pub objective: Objective,
    /// Thresholds, which follow from that.
    pub tuning: Tuning,
    /// What the pool's upstreams are.
    pub kind: PoolKind,
    /// Customers by name.
    pub customers: IndexMap<CustomerId, CustomerShare>,
    /// What holds for a customer that is not listed.
    pub default_customer: CustomerShare,
    /// The account of all customers that are not listed.
    pub default_account: CustomerId,
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// The prefill speed of one engine, as a first estimate.
        prefill_speed: TokensPerSecond,
        /// The longest prompt with its answer.
        context_tokens_max: Tokens,
    },
    /// Instances of a plain service.
    Service {
        /// How many calls one instance gets at once at most.
        concurrency_max: u32,
    },
}

/// A customer's share of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerShare {
    /// Its weight against other customers of the same priority.
    pub share: u32,
    /// This pool's part of its rate.
    pub rate: RequestsPerSecond,
    /// This pool's part of its burst, at least one request.
    pub burst_requests: f64,
}

impl PolicyConfig {
    /// The configuration for a pool of `target`'s upstreams; none if the manifest does not know the
    /// target. `pool_fraction` is the pool's share of all upstreams of the target, from 0 to 1:
    /// customers' rates hold for the whole fleet and are scaled by it.
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

    /// A customer's share.
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

    /// A customer that no line of the manifest covers: the least share and no rate of its own, so
    /// that it is served while there is room.
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

/// Whether `target` is the model itself or `MODEL:ADAPTER`.
fn serves(spec: &ModelSpec, target: &TargetId) -> bool {
    let Some(rest) = target.as_str().strip_prefix(spec.name.as_str()) else {
        return false;
    };
    let is_adapter = |name: &str| spec.adapters.iter().any(|adapter| adapter == name);
    rest.is_empty() || rest.strip_prefix(':').is_some_and(is_adapter)
}
