//! Tests of the manifest: lookup by name, the report of all problems at once, and a round trip
//! through YAML.

mod broken;

use banyanarch::manifest::CustomerSpec;
use banyanarch::manifest::LimitsSpec;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::ModelSpec;
use banyanarch::manifest::PrioritySpec;
use banyanarch::manifest::ServiceSpec;
use banyanarch::manifest::Target;
use banyanarch::manifest::WeightStoreSpec;
use banyanarch::settings::Settings;
use banyanarch::units::ByteSize;
use banyanarch::units::CustomerId;
use banyanarch::units::Priority;
use banyanarch::units::RequestsPerSecond;
use banyanarch::units::TargetId;
use banyanarch::units::Tokens;
use banyanarch::units::TokensPerSecond;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use broken::YAML_FRAGMENTS;
use broken::corrupt;
use broken::names_file_and_line;

const DESAI: &str = include_str!("../examples/desai/manifest.yaml");
const ACORNLEAF: &str = include_str!("../examples/acornleaf/manifest.yaml");

fn problems(text: &str) -> Vec<String> {
    match Manifest::parse(text, "m.yaml") {
        Ok(_) => Vec::new(),
        Err(errors) => errors.to_string().lines().map(str::to_owned).collect(),
    }
}

#[parameterized(
    desai = { "desai", DESAI, &["navrangpura", "sg-highway", "gandhinagar"] },
    acornleaf = { "acornleaf", ACORNLEAF, &["hall-a", "hall-b", "hall-c"] },
)]
fn example_files_are_valid(deployment: &str, manifest: &str, domains: &[&str]) {
    let manifest = Manifest::parse(manifest, "manifest.yaml").unwrap();
    assert_eq!(manifest.deployment, deployment);
    assert_eq!(manifest.customers.len(), 10);
    let deserialized: Manifest =
        serde_saphyr::from_str(&serde_saphyr::to_string(&manifest).unwrap()).unwrap();
    assert_eq!(deserialized, manifest);
    for domain in domains {
        let file = format!("examples/{deployment}/{deployment}-{domain}-1.yaml");
        let settings = Settings::read(file.as_ref()).unwrap();
        assert_eq!(settings.deployment, deployment);
        assert_eq!(settings.failure_domain.as_str(), *domain);
    }
}

#[test]
fn targets_customers_and_priorities_are_looked_up_by_name() {
    let manifest = Manifest::parse(DESAI, "m.yaml").unwrap();
    let target = |name: &str| manifest.target(&name.parse::<TargetId>().unwrap());
    assert!(matches!(target("geet-model"), Some(Target::Model(_))));
    assert!(matches!(
        target("geet-model:hindi"),
        Some(Target::Adapter {
            adapter: "hindi",
            ..
        })
    ));
    assert!(matches!(target("adhikar-app"), Some(Target::Service(_))));
    assert_eq!(target("geet-model:tamil"), None);
    assert_eq!(target("v1"), None);
    let share = |name: &str| {
        manifest
            .customer(&name.parse::<CustomerId>().unwrap())
            .share
    };
    assert_eq!(share("garba-karaoke"), 6);
    assert_eq!(share("a-stranger"), 1);
    assert_eq!(manifest.rank("audit"), Some(Priority(2)));
    assert_eq!(manifest.rank("urgent"), None);
}

/// An unquoted version such as `1.10` looks like a number. Parsed as one it would become 1.1, and
/// engines would be ordered to load a version that was never published.
#[parameterized(ten = { "1.10" }, octal = { "0755" }, truth = { "yes" }, hex = { "0x10" }, big = { "9e999" })]
fn an_unquoted_version_stays_text(version: &str) {
    let text = DESAI.replacen("version: \"2026.11\"", &format!("version: {version}"), 1);
    let manifest = Manifest::parse(&text, "m.yaml").unwrap();
    assert_eq!(manifest.models[0].version, version);
}

/// A manifest has several faults. One check must report all of them with their lines; otherwise the
/// manifest in force can't be replaced before the faults have been fixed one check at a time.
#[test]
fn all_problems_are_reported_at_once() {
    let text = "\
deployment: desai
models:
  - name: geet-model
    version: 1.10
    engine_memory_tokens: -5
    engine_slots: 64
    prefill_speed: 12000
    context_tokens_max: 1000000
services:
  - {name: v1, concurrency_max: 0}
  - {name: v1, concurrency_max: 8}
priorities:
  - {name: lookup, rank: 0}
customers:
  - {name: a, rate: 5req/s, burst_requests: 0, priority: lookup}
  - {name: a, rate: 5req/s, burst_requests: 9, priority: urgent}
limits:
  deadline_default_ms: 9000
  deadline_max_ms: 8000
  deadline_min_ms: 1
";
    let expected = [
        "m.yaml:5: models[0].engine_memory_tokens: expected a whole number, 0 or more, without a \
         unit (tokens), got `-5`",
        "m.yaml:7: models[0].prefill_speed: expected a rate like 8000tok/s, got `12000`",
        "m.yaml:10: services[0].concurrency_max: must be above 0",
        "m.yaml:10: services[0].name: `v1` is reserved for the path of model calls",
        "m.yaml:11: services[1].name: `v1` is reserved for the path of model calls",
        "m.yaml:11: services[1].name: `v1` is taken by services[0].name",
        "m.yaml:15: customers: has no entry named `default`, which applies to customers that are \
         not listed",
        "m.yaml:15: customers[0].burst_requests: must be above 0, or the rate admits no request",
        "m.yaml:16: customers[1].name: `a` is taken by customers[0].name",
        "m.yaml:16: customers[1].priority: `urgent` is not a priority of this manifest",
        "m.yaml:18: limits.deadline_default_ms: is above deadline_max_ms",
        "m.yaml:20: limits.deadline_min_ms: is not a known field; known fields are \
         deadline_default_ms, deadline_max_ms, output_tokens_default, body_size_max",
    ];
    assert_eq!(problems(text), expected);
}

#[parameterized(
    model_as_service = { "name: adhikar-app", "name: geet-model", "`geet-model` is taken by models[0]" },
    separator = { "name: geet-model", "name: geet:model", "must not contain `:` or `/`" },
    adapter_twice = { "[gujarati, hindi]", "[hindi, hindi]", "adapters[1]: `hindi` is listed twice" },
    rank_twice = { "rank: 2", "rank: 1", "priorities[2].rank: `1` is taken by priorities[1].rank" },
    percent = { "loaded_percent_min: 75", "loaded_percent_min: 101", "must be at most 100" },
    rule = { "by_method", "sometimes", "unknown variant `sometimes`" },
    context = { "context_tokens_max: 1048576", "context_tokens_max: 512", "leaves no room" },
    missing = { "rank: 2", "order: 2", "priorities[2].rank: is missing" },
    not_a_list = { "adapters: [gujarati, hindi]", "adapters: hindi", "expected a list" },
)]
fn a_problem_is_reported_with_its_field(from: &str, to: &str, message: &str) {
    assert!(DESAI.contains(from));
    let found = problems(&DESAI.replacen(from, to, 1));
    assert!(
        found.iter().any(|line| line.contains(message)),
        "{found:#?}"
    );
}

/// The platform refuses values above 1 MB. The check must find this first, since the operator would
/// see the platform's refusal only when the manifest is published.
#[test]
fn a_manifest_above_the_size_limit_of_the_platform_is_refused() {
    let text = format!("{DESAI}# {}\n", "x".repeat(1_000_000));
    assert!(problems(&text)[0].contains("the platform accepts at most"));
}

/// With nested aliases a short file can expand to an enormous document.
#[test]
fn an_alias_bomb_is_an_error() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for n in 1..12 {
        let names = vec![format!("*a{}", n - 1); 10].join(", ");
        text.push_str(&format!("a{n}: &a{n} [{names}]\n"));
    }
    assert!(problems(&text)[0].starts_with("m.yaml:"));
}

/// Generates free texts, among them texts that YAML would parse as another type.
fn text() -> impl Strategy<Value = String> {
    let tricky = vec![
        "null",
        "true",
        "no",
        "1.10",
        "0x1f",
        "1e3",
        "~",
        "- a",
        "a: b",
        "#",
        "'",
        "ગીત",
    ];
    prop_oneof![
        prop::sample::select(tricky).prop_map(str::to_owned),
        "[ -~]{1,16}",
    ]
}

fn manifests() -> impl Strategy<Value = Manifest> {
    let names = prop::collection::btree_set("[a-z0-9._@-]{3,12}", 5);
    let texts = prop::collection::vec(text(), 4);
    (names, texts, any::<[u16; 6]>()).prop_map(|(names, texts, numbers)| {
        let names: Vec<String> = names.into_iter().collect();
        build(&names, &texts, numbers.map(u64::from))
    })
}

fn build(names: &[String], texts: &[String], numbers: [u64; 6]) -> Manifest {
    let model = ModelSpec {
        name: names[0].parse().unwrap(),
        version: texts[0].clone(),
        adapters: vec![names[1].clone(), names[2].clone()],
        role: texts[1].clone(),
        engine_memory_tokens: Tokens(numbers[0] + 1),
        engine_slots: 7,
        prefill_speed: TokensPerSecond(f64::from(u32::MAX) / (numbers[1] + 1) as f64),
        context_tokens_max: Tokens(numbers[2] + 1_000),
        fencing: Default::default(),
        weight_size: ByteSize(numbers[3] << 20),
        loaded_percent_min: 100,
    };
    let service = ServiceSpec {
        name: names[3].parse().unwrap(),
        repeatable: Default::default(),
        key_required: numbers[4].is_multiple_of(2),
        concurrency_max: 1,
    };
    let customer = |name: CustomerId| CustomerSpec {
        name,
        share: 3,
        rate: RequestsPerSecond(numbers[5] as f64 / 7.0),
        burst_requests: 9,
        priority: texts[2].clone(),
    };
    let limits = LimitsSpec {
        deadline_default_ms: numbers[4] + 1,
        ..LimitsSpec::default()
    };
    Manifest {
        deployment: texts[3].clone(),
        objective: Default::default(),
        models: vec![model],
        services: vec![service],
        customers: vec![
            customer(CustomerId::fallback()),
            customer(names[4].parse().unwrap()),
        ],
        priorities: vec![PrioritySpec {
            name: texts[2].clone(),
            rank: Priority(0),
        }],
        limits,
        weight_store: WeightStoreSpec::default(),
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(21))]

    #[test]
    fn a_manifest_written_and_read_again_is_equal(manifest in manifests()) {
        let text = serde_saphyr::to_string(&manifest).unwrap();
        let reparsed = Manifest::parse(&text, "m.yaml");
        prop_assert_eq!(reparsed.as_ref(), Ok(&manifest), "{}", text);
    }

    #[test]
    fn broken_manifests_never_panic_and_name_file_and_line(
        at in 0..DESAI.len(),
        cut in 0_usize..60,
        noise in prop::collection::vec(prop::sample::select(YAML_FRAGMENTS), 0..6),
    ) {
        let text = corrupt(DESAI, at, cut, &noise);
        for line in problems(&text) {
            prop_assert!(names_file_and_line(&line, "m.yaml"), "{}", line);
        }
    }
}
