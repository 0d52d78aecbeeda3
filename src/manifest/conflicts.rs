//! Parts of a manifest that are each good and do not go together.

use indexmap::IndexMap;

use crate::manifest::CustomerSpec;
use crate::manifest::LimitsSpec;
use crate::manifest::ModelSpec;
use crate::manifest::PrioritySpec;
use crate::manifest::ServiceSpec;
use crate::units::CustomerId;
use crate::yaml::Fields;
use crate::yaml::Item;

/// The first part of the model calls' paths, which a service of that name would hide.
const MODEL_PATH: &str = "v1";

/// Models and services share one space of names, since both are what a caller asks for.
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
        if name == MODEL_PATH {
            let what = format!("`{name}` is the path of the model calls");
            fields.report(&format!("{path}.name"), what);
        }
    }
    check_unique(fields, "name", models.chain(services));
}

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
            "has none named `default`, for all that are not listed",
        );
    }
    let is_known = |name: &str| priorities.iter().any(|known| known.value.name == name);
    for customer in customers {
        let priority = &customer.value.priority;
        if !priorities.is_empty() && !is_known(priority) {
            let what = format!("`{priority}` is no priority of this manifest");
            fields.report(&format!("{}.priority", customer.path), what);
        }
    }
}

pub(crate) fn check_priorities(fields: &mut Fields<'_>, priorities: &[Item<PrioritySpec>]) {
    let names = priorities
        .iter()
        .map(|priority| (&priority.path, priority.value.name.as_str()));
    check_unique(fields, "name", names);
    let ranks: Vec<String> = priorities
        .iter()
        .map(|it| it.value.rank.to_string())
        .collect();
    let ranks = priorities
        .iter()
        .zip(&ranks)
        .map(|(it, rank)| (&it.path, rank.as_str()));
    check_unique(fields, "rank", ranks);
}

/// An answer of the default length must fit into every model beside a prompt.
pub(crate) fn check_output(
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
                "leaves no room for a prompt beside limits.output_tokens_default, {}",
                limits.output_tokens_default
            );
            fields.report(&format!("{}.context_tokens_max", model.path), what);
        }
    }
}

fn check_unique<'a>(
    fields: &mut Fields<'_>,
    field: &str,
    values: impl Iterator<Item = (&'a String, &'a str)>,
) {
    let mut seen = IndexMap::new();
    for (path, value) in values {
        if let Some(earlier) = seen.get(value) {
            let what = format!("`{value}` is taken by {earlier}.{field}");
            fields.report(&format!("{path}.{field}"), what);
        } else {
            seen.insert(value, path);
        }
    }
}
