//! Finding things in a manifest by name.

use std::sync::LazyLock;

use crate::manifest::CustomerSpec;
use crate::manifest::Manifest;
use crate::manifest::Target;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;

/// Stands between a model's name and an adapter's in a target's name.
pub(crate) const ADAPTER_SEPARATOR: char = ':';

/// What unknown customers get from a manifest without a `default`, which a checked manifest never
/// is: nothing.
static NOTHING: LazyLock<CustomerSpec> = LazyLock::new(|| CustomerSpec {
    name: CustomerId::fallback(),
    share: 1,
    rate: RequestsPerSecond(0.0),
    burst_requests: 0,
    priority: String::new(),
});

impl Manifest {
    /// The customer of this name, or `default` for one that is not listed.
    pub fn customer(&self, name: &CustomerId) -> &CustomerSpec {
        let find = |name: &CustomerId| {
            self.customers
                .iter()
                .find(|customer| customer.name == *name)
        };
        find(name)
            .or_else(|| find(&CustomerId::fallback()))
            .unwrap_or(&NOTHING)
    }

    /// What a target name stands for.
    pub fn target(&self, name: &TargetId) -> Option<Target<'_>> {
        let model = |name: &str| self.models.iter().find(|model| model.name.as_str() == name);
        if let Some(service) = self.services.iter().find(|service| service.name == *name) {
            return Some(Target::Service(service));
        }
        if let Some(model) = model(name.as_str()) {
            return Some(Target::Model(model));
        }
        let (model_name, adapter_name) = name.as_str().split_once(ADAPTER_SEPARATOR)?;
        let model = model(model_name)?;
        let adapter = model.adapters.iter().find(|name| *name == adapter_name)?;
        Some(Target::Adapter { model, adapter })
    }

    /// The rank of a priority.
    pub fn rank(&self, priority: &str) -> Option<Priority> {
        let named = self.priorities.iter().find(|spec| spec.name == priority);
        named.map(|spec| spec.rank)
    }
}
