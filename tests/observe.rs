//! Tests of metrics, logs and explanations.

use std::env;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use banyanarch::clock::ManualClock;
use banyanarch::cluster_view::ClusterView;
use banyanarch::cluster_view::HostState;
use banyanarch::cluster_view::HostView;
use banyanarch::cluster_view::UpstreamView;
use banyanarch::control::outcome::Outcome;
use banyanarch::decide::LengthClass;
use banyanarch::decide::PoolLoad;
use banyanarch::decide::UpstreamHealth;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::ManifestInForce;
use banyanarch::observe::ExplanationLimits;
use banyanarch::observe::Explanations;
use banyanarch::observe::HostCounts;
use banyanarch::observe::Metrics;
use banyanarch::observe::SeenNames;
use banyanarch::observe::Sighting;
use banyanarch::observe::StepKind;
use banyanarch::observe::logs;
use banyanarch::settings::LogFormat;
use banyanarch::settings::LogSettings;
use banyanarch::settings::Settings;
use banyanarch::units::ContentHash;
use banyanarch::units::CustomerId;
use banyanarch::units::Generation;
use banyanarch::units::Incarnation;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;

const DESAI: &str = include_str!("../examples/desai/manifest.yaml");
const HOST: &str = include_str!("../examples/desai/desai-navrangpura-1.yaml");
/// Set in the child process that writes the log lines.
const LOG_CHILD: &str = "BANYANARCH_TEST_LOG_CHILD";

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

fn metrics() -> Metrics {
    let metrics = Metrics::new().unwrap();
    metrics.set_customers(&Manifest::parse(DESAI, "m.yaml").unwrap());
    metrics
}

#[test]
fn histograms_have_bounds_at_the_objectives_and_labels_of_customer_and_class() {
    let metrics = metrics();
    let films = customer("sabarmati-films");
    metrics.record_first_token(&films, LengthClass::Huge, Duration::from_millis(1_800));
    metrics.record_token_gap(&films, LengthClass::Short, Duration::from_millis(48));
    metrics.record_queue_wait(&films, LengthClass::Short, Duration::from_millis(3));
    metrics.count_outcome(&films, LengthClass::Short, Outcome::NotRun, "deadline");
    metrics.count_retry("refused");
    metrics.add_in_flight(LengthClass::Long, 2);
    metrics.add_in_flight(LengthClass::Long, -1);
    let text = metrics.render().unwrap();
    let labels = "class=\"huge\",customer=\"sabarmati-films\"";
    for line in [
        format!("banyanarch_time_to_first_token_seconds_bucket{{{labels},le=\"1.2\"}} 0"),
        format!("banyanarch_time_to_first_token_seconds_bucket{{{labels},le=\"1.8\"}} 1"),
        "banyanarch_time_between_tokens_seconds_bucket{class=\"short\",customer=\
         \"sabarmati-films\",le=\"0.047\"} 0"
            .to_owned(),
        "banyanarch_queue_wait_seconds_count{class=\"short\",customer=\"sabarmati-films\"} 1"
            .to_owned(),
        "banyanarch_requests_total{class=\"short\",customer=\"sabarmati-films\",outcome=\
         \"not-run\"} 1"
            .to_owned(),
        "banyanarch_failures_total{class=\"short\",outcome=\"not-run\",reason=\"deadline\"} 1"
            .to_owned(),
        "banyanarch_retries_total{reason=\"refused\"} 1".to_owned(),
        "banyanarch_in_flight{class=\"long\"} 1".to_owned(),
    ] {
        assert!(
            text.lines().any(|shown| shown == line),
            "{line} is not in\n{text}"
        );
    }
}

/// The operators' page must list every metric, every setting and every manifest field.
#[test]
fn the_operators_page_lists_all_metrics_and_settings() {
    let page = include_str!("../docs/OPERATIONS.md");
    let metrics = metrics();
    let films = customer("sabarmati-films");
    metrics.record_first_token(&films, LengthClass::Short, Duration::ZERO);
    metrics.record_token_gap(&films, LengthClass::Short, Duration::ZERO);
    metrics.record_queue_wait(&films, LengthClass::Short, Duration::ZERO);
    metrics.count_outcome(&films, LengthClass::Short, Outcome::NotRun, "deadline");
    metrics.count_retry("refused");
    metrics.add_in_flight(LengthClass::Short, 1);
    metrics.update_host_counts(host_counts());
    metrics.update_cluster_counts(&cluster_view());
    let text = metrics.render().unwrap();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = names.filter_map(|rest| rest.split(' ').next()).collect();
    assert_eq!(names.len(), 18);
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
    let settings = Settings::parse(HOST, "host.yaml").unwrap();
    let manifest = Manifest::parse(DESAI, "m.yaml").unwrap();
    let mut fields = Vec::new();
    collect_fields("", &serde_json::to_value(settings).unwrap(), &mut fields);
    collect_fields("", &serde_json::to_value(manifest).unwrap(), &mut fields);
    for field in fields.iter().filter(|field| !field.starts_with("peers.")) {
        assert!(page.contains(&format!("| `{field}` |")), "{field}");
    }
}

fn collect_fields(path: &str, value: &serde_json::Value, fields: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(entries) => {
            for (key, value) in entries {
                let dot = if path.is_empty() { "" } else { "." };
                collect_fields(&format!("{path}{dot}{key}"), value, fields);
            }
        }
        serde_json::Value::Array(items) if items.iter().any(serde_json::Value::is_object) => {
            items
                .iter()
                .for_each(|item| collect_fields(&format!("{path}[]"), item, fields));
        }
        _ => fields.push(path.to_owned()),
    }
}

fn cluster_view() -> ClusterView {
    let cluster_view = ClusterView::new();
    cluster_view.advance_manifest(ManifestInForce {
        generation: Generation(4),
        hash: ContentHash::of(DESAI.as_bytes()),
        manifest: Manifest::parse(DESAI, "m.yaml").unwrap(),
    });
    let upstream = UpstreamView {
        version: banyanarch::units::ObjectVersion(1),
        id: "engine-1".parse().unwrap(),
        target: "geet-model".parse().unwrap(),
        domain: "navrangpura".parse().unwrap(),
        addr: "127.0.0.1:9".parse().unwrap(),
        health: UpstreamHealth::Live,
    };
    cluster_view.upstreams.insert(upstream.id.clone(), upstream);
    let host = HostView {
        id: "host-1".parse().unwrap(),
        domain: "navrangpura".parse().unwrap(),
        peer_addr: "127.0.0.1:9".parse().unwrap(),
        incarnation: Incarnation(1),
        state: HostState::Suspect,
        generation: Generation(4),
    };
    cluster_view.hosts.insert(host.id.clone(), host);
    cluster_view
}

/// A host gets its first manifest, and later its last upstream is removed. Customers must have
/// their own series from the first manifest on, and the gauges must not report the removed
/// upstream.
#[test]
fn the_cluster_view_is_counted_anew_on_each_update() {
    let metrics = Metrics::new().unwrap();
    let cluster_view = cluster_view();
    metrics.update_cluster_counts(&cluster_view);
    metrics.record_first_token(
        &customer("garba-karaoke"),
        LengthClass::Short,
        Duration::ZERO,
    );
    let text = metrics.render().unwrap();
    assert!(text.contains("banyanarch_manifest_generation 4"));
    assert!(text.contains("banyanarch_hosts{state=\"suspect\"} 1"));
    let live = "banyanarch_upstreams{health=\"live\",target=\"geet-model\"}";
    assert!(text.contains(&format!("{live} 1")));
    assert!(text.contains("customer=\"garba-karaoke\""));
    cluster_view.upstreams.retain(|_, _| false);
    metrics.update_cluster_counts(&cluster_view);
    assert!(!metrics.render().unwrap().contains(live));
}

/// A caller sends a new name in the customer header of every request. With a series for each name,
/// the host would run out of memory and lose all its requests.
#[test]
fn unlisted_customers_count_as_default() {
    let metrics = metrics();
    for n in 0..500 {
        let name = customer(&format!("unlisted-{n}"));
        metrics.record_first_token(&name, LengthClass::Short, Duration::from_millis(9));
    }
    let text = metrics.render().unwrap();
    assert!(!text.contains("unlisted"));
    let count = "banyanarch_time_to_first_token_seconds_count";
    assert!(text.contains(&format!(
        "{count}{{class=\"short\",customer=\"default\"}} 500"
    )));
}

/// A home hands over a pool whose memory is partly reserved. If the gauges of the pool remained,
/// the sum over all hosts would count that memory twice forever, and the alarm for lost memory
/// would never clear.
#[test]
fn gauges_of_a_pool_that_was_handed_over_are_removed() {
    let metrics = metrics();
    metrics.update_host_counts(host_counts());
    let text = metrics.render().unwrap();
    assert!(text.contains("banyanarch_ledger_free_tokens{pool=\"hall-a/llm-advisor/0\"} 700"));
    assert!(text.contains("banyanarch_peer_bytes_total{purpose=\"control\"} 120"));
    metrics.update_host_counts(HostCounts::default());
    assert!(!metrics.render().unwrap().contains("hall-a"));
}

fn host_counts() -> HostCounts {
    let load = PoolLoad {
        free_tokens: Tokens(700),
        ..PoolLoad::default()
    };
    HostCounts {
        peer_control_bytes: 120,
        manifest_confirmed_ago: Some(Duration::from_secs(2)),
        pools: vec![("hall-a/llm-advisor/0".parse().unwrap(), load)],
        ..HostCounts::default()
    }
}

fn explanations(limits: ExplanationLimits) -> (Arc<ManualClock>, Explanations) {
    let clock = Arc::new(ManualClock::new());
    (clock.clone(), Explanations::new(clock, limits))
}

#[test]
fn an_explanation_is_serialized_as_json() {
    let (clock, explanations) = explanations(ExplanationLimits::default());
    let request = RequestId(7);
    explanations.record(request, StepKind::Received, "", "42 tokens");
    clock.advance(Duration::from_millis(30));
    explanations.record(
        request,
        StepKind::Granted,
        "engine-3",
        String::from("prefix cached"),
    );
    let shown = serde_json::to_value(explanations.get(request).unwrap()).unwrap();
    let expected = serde_json::json!({
        "request_id": "00000000000000000000000000000007",
        "left_out": 0,
        "steps": [
            {"wall_ms": 0, "elapsed_ms": 0, "what": "received", "place": "", "why": "42 tokens"},
            {"wall_ms": 30, "elapsed_ms": 30, "what": "granted", "place": "engine-3",
             "why": "prefix cached"},
        ],
    });
    assert_eq!(shown, expected);
    assert_eq!(explanations.get(RequestId(8)), None);
}

/// A host runs for weeks under load, and one request is retried again and again. Without limits on
/// requests and steps, the explanations would take the memory that prompts need.
#[test]
fn explanations_are_limited_and_the_oldest_are_evicted_first() {
    let limits = ExplanationLimits {
        requests: 160,
        bytes: 100_000,
        steps: 6,
        text_bytes: 10,
    };
    let (_, explanations) = explanations(limits);
    for id in 0..10_000 {
        for n in 0..20 {
            let why = format!("step {n} of it"); // longer than text_bytes, so it is truncated
            explanations.record(RequestId(id), StepKind::Retried, "ગીત-model", why);
        }
    }
    let (requests, bytes) = explanations.size();
    assert!(
        requests <= limits.requests && bytes <= limits.bytes,
        "{requests} {bytes}"
    );
    assert_eq!(explanations.get(RequestId(0)), None);
    let newest = explanations.get(RequestId(9_999)).unwrap();
    assert_eq!((newest.steps.len(), newest.left_out), (6, 14));
    assert_eq!(newest.steps[0].why, "step 0 of ");
    assert_eq!(newest.steps[5].why, "step 19 of");
    assert_eq!(newest.steps[5].place, "ગીત-");
}

#[test]
fn a_json_log_line_has_the_request_id() {
    if env::var_os(LOG_CHILD).is_some() {
        let settings = LogSettings {
            format: LogFormat::Json,
            level: "info".to_owned(),
        };
        logs::init(&settings).unwrap();
        log::debug!("homes: not shown");
        log::info!(request:% = RequestId(9); "entry: refused");
        return;
    }
    let child = Command::new(env::current_exe().unwrap())
        .args([
            "--exact",
            "a_json_log_line_has_the_request_id",
            "--nocapture",
        ])
        .env(LOG_CHILD, "1")
        .output()
        .unwrap();
    let stderr = String::from_utf8(child.stderr).unwrap();
    let line = stderr.lines().find(|line| line.starts_with('{')).unwrap();
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    assert_eq!(line["message"], "entry: refused");
    assert_eq!(line["kvs"]["request"], RequestId(9).to_string());
    assert!(!stderr.contains("not shown"));
}

/// Guards against memory and metrics that grow with the names that other systems choose.
#[test]
fn a_bounded_number_of_names_is_remembered() {
    let names = SeenNames::default();
    assert_eq!(names.record("a"), Sighting::First);
    assert_eq!(names.record("a"), Sighting::Repeated);
    let others = (0..100).map(|index| names.record(&format!("b{index}")));
    let remembered = others
        .filter(|sighting| *sighting == Sighting::First)
        .count();
    assert_eq!(remembered, 31);
    assert_eq!(names.record("c"), Sighting::Unrecorded);
    assert_eq!(names.record("a"), Sighting::Repeated);
}
