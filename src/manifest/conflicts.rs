//! Checks for parts of a manifest that are valid one by one and contradict each other.

use indexmap::IndexMap;

use crate::manifest::CustomerSpec;
use crate::manifest::LimitsSpec;
use crate::manifest::ModelSpec;
use crate::manifest::PrioritySpec;
use crate::manifest::ServiceSpec;
use crate::units::CustomerId;
use crate::yaml::Fields;
use crate::yaml::Item;

/// The first segment of the paths of model calls. A service of this name would make them
/// unreachable.
const MODEL_PATH_SEGMENT: &str = "v1";

/// Reports a service with the reserved name of the model path, and names that two models or
/// services share. Both are targets that callers request by name, so their names must differ.
pub(crate) fn check_targets(
    fields: &mut Fields<'_>,
    models: &[Item<ModelSpec>],
    services: &[Item<ServiceSpec>],
) {
    let models = models
        .iter()
        .map(|model| (&model.path, model.value.name.as_str()));
    let services = services
        .iter()
        .map(|service| (&service.path, service.value.name.as_str()));
    for (path, name) in services.clone() {
        if name == MODEL_PATH_SEGMENT {
            let what = format!("`{name}` is reserved for the path of model calls");
            fields.report(&format!("{path}.name"), what);
        }
    }
    check_unique(fields, "name", models.chain(services));
}

/// Reports duplicate customers, a missing `default` customer, and unknown priorities of customers.
pub(crate) fn check_customers(
    fields: &mut Fields<'_>,
    customers: &[Item<CustomerSpec>],
    priorities: &[Item<PrioritySpec>],
) {
    let names = customers
        .iter()
        .map(|customer| (&customer.path, customer.value.name.as_str()));
    check_unique(fields, "name", names);
    let is_fallback = |customer: &Item<CustomerSpec>| customer.value.name == CustomerId::fallback();
    if !customers.is_empty() && !customers.iter().any(is_fallback) {
        fields.report(
            "customers",
            "has no entry named `default`, which applies to customers that are not listed",
        );
    }
    let is_known = |name: &str| priorities.iter().any(|known| known.value.name == name);
    for customer in customers {
        let priority = &customer.value.priority;
        if !priorities.is_empty() && !is_known(priority) {
            let what = format!("`{priority}` is not a priority of this manifest");
            fields.report(&format!("{}.priority", customer.path), what);
        }
    }
}

/// Reports priorities that share a name or a rank.
pub(crate) fn check_priorities(fields: &mut Fields<'_>, priorities: &[Item<PrioritySpec>]) {
    let names = priorities
        .iter()
        .map(|priority| (&priority.path, priority.value.name.as_str()));
    check_unique(fields, "name", names);
    let ranks: Vec<String> = priorities
        .iter()
        .map(|priority| priority.value.rank.to_string())
        .collect();
    let ranks = priorities
        .iter()
        .zip(&ranks)
        .map(|(priority, rank)| (&priority.path, rank.as_str()));
    check_unique(fields, "rank", ranks);
}

/// Reports models whose context has no room for a prompt and an answer of the default length.
pub(crate) fn check_default_output(
    fields: &mut Fields<'_>,
    models: &[Item<ModelSpec>],
    limits: Option<&LimitsSpec>,
) {
    let Some(limits) = limits else {
        return;
    };
    for model in models {
        let context = model.value.context_tokens_max;
        if context.0 > 0 && context <= limits.output_tokens_default {
            let what = format!(
                "leaves no room for a prompt besides limits.output_tokens_default of {}",
                limits.output_tokens_default
            );
            fields.report(&format!("{}.context_tokens_max", model.path), what);
        }
    }
}

/// Reports each value of `field` that an earlier element has already. `values` are pairs of an
/// element's path and its value.
fn check_unique<'a>(
    fields: &mut Fields<'_>,
    field: &str,
    values: impl Iterator<Item = (&'a String, &'a str)>,
) {
    let mut paths = IndexMap::new();
    for (path, value) in values {
        if let Some(earlier) = paths.get(value) {
            let what = format!("`{value}` is taken by {earlier}.{field}");
            fields.report(&format!("{path}.{field}"), what);
        } else {
            paths.insert(value, path);
        }
    }
}
