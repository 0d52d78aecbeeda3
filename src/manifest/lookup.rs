//! Lookup of customers, targets and priorities in a manifest by name.

use std::sync::LazyLock;

use crate::manifest::CustomerSpec;
use crate::manifest::Manifest;
use crate::manifest::Target;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;

/// Separates the model name from the adapter name in the name of a target.
pub(crate) const ADAPTER_SEPARATOR: char = ':';

/// A customer without any allowance. It applies to unknown customers if the manifest has no
/// `default`; the validation of manifests rules this out.
static NO_ALLOWANCE: LazyLock<CustomerSpec> = LazyLock::new(|| CustomerSpec {
    name: CustomerId::fallback(),
    share: 1,
    rate: RequestsPerSecond(0.0),
    burst_requests: 0,
    priority: String::new(),
});

impl Manifest {
    /// Returns the customer of this name, or `default` if it is not listed.
    pub fn customer(&self, name: &CustomerId) -> &CustomerSpec {
        let find = |name: &CustomerId| {
            self.customers
                .iter()
                .find(|customer| customer.name == *name)
        };
        find(name)
            .or_else(|| find(&CustomerId::fallback()))
            .unwrap_or(&NO_ALLOWANCE)
    }

    /// Returns the model, adapter or service that a target name refers to, or `None` if the
    /// manifest has no such target.
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

    /// Returns the rank of the priority with this name, or `None` if the manifest has no such
    /// priority.
    pub fn rank(&self, priority: &str) -> Option<Priority> {
        let spec = self.priorities.iter().find(|spec| spec.name == priority);
        spec.map(|spec| spec.rank)
    }
}
