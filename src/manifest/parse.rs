//! Parsing and validation of a manifest.

use crate::manifest::CustomerSpec;
use crate::manifest::LimitsSpec;
use crate::manifest::Manifest;
use crate::manifest::ManifestErrors;
use crate::manifest::ModelSpec;
use crate::manifest::PrioritySpec;
use crate::manifest::ServiceSpec;
use crate::manifest::WeightStoreSpec;
use crate::manifest::conflicts;
use crate::manifest::lookup::ADAPTER_SEPARATOR;
use crate::manifest::spec;
use crate::units::ByteSize;
use crate::units::RequestsPerSecond;
use crate::units::TargetId;
use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::yaml;
use crate::yaml::Fields;
use crate::yaml::FileErrors;
use crate::yaml::Item;
use crate::yaml::Problem;
use crate::yaml::Problems;
use crate::yaml::Section;

/// The maximum length of a manifest's text as a JSON string. The platform stores values of up to
/// 1 MB; 1,024 bytes are reserved for the object around the text.
const JSON_BYTES_MAX: usize = 1_000_000 - 1_024;
const MUST_BE_ABOVE_ZERO: &str = "must be above 0";
const IS_EMPTY: &str = "is empty";

impl Manifest {
    /// Parses and validates a manifest. `file` is the file name that problems are reported with.
    pub fn parse(text: &str, file: &str) -> Result<Self, ManifestErrors> {
        let manifest = yaml::parse(text, file)?;
        let size_problem = find_size_problem(text);
        match size_problem {
            Some(problem) => {
                let mut problems = Problems::default();
                problems.push(problem);
                Err(FileErrors::new(file, problems).into())
            }
            None => Ok(manifest),
        }
    }
}

impl Section for Manifest {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let deployment = fields.required("deployment");
        let objective = fields.optional("objective", Default::default());
        let models = fields.optional_list("models");
        let services = fields.optional_list("services");
        let customers = fields.list("customers");
        let priorities = fields.list("priorities");
        let limits = fields.optional_section("limits");
        let weight_store = fields.optional_section("weight_store");

        fields.check(
            "deployment",
            deployment.as_ref(),
            |text: &String| is_not_empty(text),
            IS_EMPTY,
        );
        conflicts::check_targets(fields, &models, &services);
        conflicts::check_customers(fields, &customers, &priorities);
        conflicts::check_priorities(fields, &priorities);
        conflicts::check_default_output(fields, &models, limits.as_ref());
        Some(Self {
            deployment: deployment?,
            objective: objective?,
            models: values(models),
            services: values(services),
            customers: values(customers),
            priorities: values(priorities),
            limits: limits?,
            weight_store: weight_store?,
        })
    }
}

impl Section for ModelSpec {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let version = fields.required("version");
        let adapters = fields.optional_values("adapters");
        let role = fields.optional("role", spec::default_role());
        let engine_memory_tokens = fields.required("engine_memory_tokens");
        let engine_slots = fields.required("engine_slots");
        let prefill_speed = fields.required("prefill_speed");
        let context_tokens_max = fields.required("context_tokens_max");
        let fencing = fields.optional("fencing", Default::default());
        let weight_size = fields.optional("weight_size", ByteSize::default());
        let loaded_percent_min =
            fields.optional("loaded_percent_min", spec::default_loaded_percent_min());

        check_target_name(fields, name.as_ref());
        check_adapters(fields, &adapters);
        fields.check(
            "version",
            version.as_ref(),
            |text: &String| is_not_empty(text),
            IS_EMPTY,
        );
        fields.check(
            "role",
            role.as_ref(),
            |text: &String| is_not_empty(text),
            IS_EMPTY,
        );
        let is_positive = |tokens: &Tokens| tokens.0 > 0;
        fields.check(
            "engine_memory_tokens",
            engine_memory_tokens.as_ref(),
            is_positive,
            MUST_BE_ABOVE_ZERO,
        );
        fields.check(
            "context_tokens_max",
            context_tokens_max.as_ref(),
            is_positive,
            MUST_BE_ABOVE_ZERO,
        );
        fields.check(
            "engine_slots",
            engine_slots.as_ref(),
            |slots| *slots > 0,
            MUST_BE_ABOVE_ZERO,
        );
        let is_positive_speed = |speed: &TokensPerSecond| speed.0 > 0.0;
        fields.check(
            "prefill_speed",
            prefill_speed.as_ref(),
            is_positive_speed,
            MUST_BE_ABOVE_ZERO,
        );
        let is_percent = |percent: &u8| *percent <= 100;
        fields.check(
            "loaded_percent_min",
            loaded_percent_min.as_ref(),
            is_percent,
            "must be at most 100",
        );
        Some(Self {
            name: name?,
            version: version?,
            adapters,
            role: role?,
            engine_memory_tokens: engine_memory_tokens?,
            engine_slots: engine_slots?,
            prefill_speed: prefill_speed?,
            context_tokens_max: context_tokens_max?,
            fencing: fencing?,
            weight_size: weight_size?,
            loaded_percent_min: loaded_percent_min?,
        })
    }
}

impl Section for ServiceSpec {
    /// A value that fails a check is reported in `fields`, but the section is still returned.
    /// `None` only if a required value is missing or a value cannot be parsed.
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let repeatable = fields.optional("repeatable", Default::default());
        let key_required = fields.optional("key_required", false);
        let concurrency_max = fields.required("concurrency_max");
        check_target_name(fields, name.as_ref());
        fields.check(
            "concurrency_max",
            concurrency_max.as_ref(),
            |max| *max > 0,
            MUST_BE_ABOVE_ZERO,
        );
        Some(Self {
            name: name?,
            repeatable: repeatable?,
            key_required: key_required?,
            concurrency_max: concurrency_max?,
        })
    }
}

impl Section for CustomerSpec {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let share = fields.optional("share", spec::default_share());
        let rate = fields.required::<RequestsPerSecond>("rate");
        let burst_requests = fields.required("burst_requests");
        let priority = fields.required("priority");
        fields.check(
            "share",
            share.as_ref(),
            |share| *share > 0,
            MUST_BE_ABOVE_ZERO,
        );
        if rate.is_some_and(|rate| rate.0 > 0.0) {
            let what = "must be above 0, or the rate admits no request";
            fields.check(
                "burst_requests",
                burst_requests.as_ref(),
                |burst| *burst > 0,
                what,
            );
        }
        Some(Self {
            name: name?,
            share: share?,
            rate: rate?,
            burst_requests: burst_requests?,
            priority: priority?,
        })
    }
}

impl Section for PrioritySpec {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.required("name");
        let rank = fields.required("rank");
        fields.check(
            "name",
            name.as_ref(),
            |text: &String| is_not_empty(text),
            IS_EMPTY,
        );
        Some(Self {
            name: name?,
            rank: rank?,
        })
    }
}

impl Section for LimitsSpec {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let defaults = Self::default();
        let deadline_default_ms =
            fields.optional("deadline_default_ms", defaults.deadline_default_ms);
        let deadline_max_ms = fields.optional("deadline_max_ms", defaults.deadline_max_ms);
        let output_tokens_default =
            fields.optional("output_tokens_default", defaults.output_tokens_default);
        let body_size_max = fields.optional("body_size_max", defaults.body_size_max);

        let is_positive_ms = |ms: &u64| *ms > 0;
        fields.check(
            "deadline_default_ms",
            deadline_default_ms.as_ref(),
            is_positive_ms,
            MUST_BE_ABOVE_ZERO,
        );
        fields.check(
            "deadline_max_ms",
            deadline_max_ms.as_ref(),
            is_positive_ms,
            MUST_BE_ABOVE_ZERO,
        );
        let is_within = |ms: &u64| deadline_max_ms.is_none_or(|max| *ms <= max);
        let what = "is above deadline_max_ms";
        fields.check(
            "deadline_default_ms",
            deadline_default_ms.as_ref(),
            is_within,
            what,
        );
        let is_positive_tokens = |tokens: &Tokens| tokens.0 > 0;
        fields.check(
            "output_tokens_default",
            output_tokens_default.as_ref(),
            is_positive_tokens,
            MUST_BE_ABOVE_ZERO,
        );
        let is_positive_size = |size: &ByteSize| size.0 > 0;
        fields.check(
            "body_size_max",
            body_size_max.as_ref(),
            is_positive_size,
            MUST_BE_ABOVE_ZERO,
        );
        Some(Self {
            deadline_default_ms: deadline_default_ms?,
            deadline_max_ms: deadline_max_ms?,
            output_tokens_default: output_tokens_default?,
            body_size_max: body_size_max?,
        })
    }
}

impl Section for WeightStoreSpec {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let default = Self::default().load_size_per_second;
        let load_size_per_second = fields.optional("load_size_per_second", default);
        let is_positive_size = |size: &ByteSize| size.0 > 0;
        fields.check(
            "load_size_per_second",
            load_size_per_second.as_ref(),
            is_positive_size,
            MUST_BE_ABOVE_ZERO,
        );
        Some(Self {
            load_size_per_second: load_size_per_second?,
        })
    }
}

/// Reports a target name that contains a separator. The name is used as a path segment and in
/// `MODEL:ADAPTER`.
fn check_target_name(fields: &mut Fields<'_>, name: Option<&TargetId>) {
    let has_no_separator = |name: &TargetId| !name.as_str().contains([ADAPTER_SEPARATOR, '/']);
    fields.check(
        "name",
        name,
        has_no_separator,
        "must not contain `:` or `/`",
    );
}

/// Reports invalid and duplicate adapter names.
fn check_adapters(fields: &mut Fields<'_>, adapters: &[String]) {
    for (index, adapter) in adapters.iter().enumerate() {
        let path = format!("adapters[{index}]");
        if adapter.parse::<TargetId>().is_err() || adapter.contains([ADAPTER_SEPARATOR, '/']) {
            fields.report(&path, format!("expected an adapter name, got `{adapter}`"));
        }
        if adapters[..index].contains(adapter) {
            fields.report(&path, format!("`{adapter}` is listed twice"));
        }
    }
}

fn is_not_empty(text: &str) -> bool {
    !text.is_empty()
}

fn values<T>(items: Vec<Item<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}

/// Returns a problem if the manifest is too long for the platform to store. This check tells the
/// operator the reason; the platform would only refuse the write.
fn find_size_problem(text: &str) -> Option<Problem> {
    let json_len = serde_json::to_string(text).map_or(usize::MAX, |json| json.len());
    (json_len > JSON_BYTES_MAX).then(|| Problem {
        line: 1,
        field: "(file)".to_owned(),
        what: format!(
            "has {json_len} bytes as JSON; the platform accepts at most {JSON_BYTES_MAX}"
        ),
    })
}
