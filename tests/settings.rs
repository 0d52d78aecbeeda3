//! Tests of the settings file: fields and defaults, and the report of all problems at once.

mod broken;

use std::net::SocketAddr;
use std::path::Path;

use banyanarch::settings::LogFormat;
use banyanarch::settings::Settings;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use broken::YAML_FRAGMENTS;
use broken::corrupt;
use broken::names_file_and_line;

const EXAMPLE: &str = include_str!("../examples/desai/desai-navrangpura-1.yaml");

fn problems(text: &str) -> Vec<String> {
    match Settings::parse(text, "host.yaml") {
        Ok(_) => Vec::new(),
        Err(errors) => errors.to_string().lines().map(str::to_owned).collect(),
    }
}

#[test]
fn fields_and_defaults_are_read() {
    let settings = Settings::parse(EXAMPLE, "host.yaml").unwrap();
    let status: SocketAddr = "10.20.1.11:9090".parse().unwrap();
    assert_eq!(settings.host.as_str(), "desai-navrangpura-1");
    assert_eq!(settings.listen.status, status);
    assert_eq!(settings.logs.format, LogFormat::Json);
    assert_eq!(settings.peers.seeds.len(), 7);

    let short = EXAMPLE.split("\ndrain:").next().unwrap();
    let settings = Settings::parse(short, "host.yaml").unwrap();
    assert_eq!(settings.drain.notice_ms, 5_000);
    assert_eq!(settings.logs.format, LogFormat::Text);
    assert_eq!(settings.body_memory_size.to_string(), "128MiB");
}

/// One change renames a key, omits a required one, writes a duration with a unit, makes a number
/// negative and gives two listeners the same port. The host must not start, and one run of the
/// check must report all of it; otherwise the operator finds one problem per restart.
#[test]
fn all_problems_are_reported_at_once() {
    let text = "\
host: a
deployment: desai
failure_domain: navrangpura
listen:
  callers: 10.0.0.1:8080
  peers: 10.0.0.1:7070
  status: 10.0.0.1:8080
platform:
  address: 10.0.0.9:8443
  timeout_ms: 5s
peers:
  kyes: []
threads: -1
";
    let expected = [
        "host.yaml:7: listen.status: 10.0.0.1:8080 is taken by listen.callers",
        "host.yaml:10: platform.timeout_ms: expected a whole number, 0 or more, without a unit \
         (milliseconds), got `5s`",
        "host.yaml:12: peers.keys: is missing",
        "host.yaml:12: peers.kyes: is not a known field; known fields are seeds, keys, \
         control_bytes_per_second",
        "host.yaml:13: threads: expected a whole number, 0 or more, without a unit, got `-1`",
    ];
    assert_eq!(problems(text), expected);
}

#[parameterized(
    short_secret = { "replace-me-before-use", "short", "peers.keys[0].secret: must have at least" },
    unit_missing = { "body_memory_size: 128MiB", "body_memory_size: 128", "expected a size like" },
    seed_twice = { "desai-sg-highway-2", "desai-sg-highway-1", "is the host of seeds[3] too" },
    seed_elsewhere = { "\"10.20.1.11:7070\"", "\"10.20.9.9:7070\"", "is not the address that desai-navrangpura-1" },
    peers_unspecified = { "peers: 10.20.1.11", "peers: 0.0.0.0", "must be an address that other" },
    platform_port = { "10.20.0.5:8443", "10.20.0.5:0", "must be an address and port to connect to" },
    level = { "level: info", "level: loud", "must be one of off, error, warn" },
    format = { "format: json", "format: xml", "unknown variant `xml`" },
    no_value = { "host: desai-navrangpura-1\n", "host:\n", "host: has no value" },
    a_list = { "deployment: desai", "deployment: [desai]", "expected one value, not a list" },
    twice = { "deployment: desai", "deployment: desai\nhost: b", "host: is given twice, first in line 2" },
    tab = { "  callers:", "\tcallers:", "(syntax)" },
)]
fn invalid_settings_are_reported_with_line_and_field(from: &str, to: &str, message: &str) {
    assert!(EXAMPLE.contains(from));
    let found = problems(&EXAMPLE.replacen(from, to, 1));
    let problem = found.iter().find(|line| line.contains(message));
    let problem = problem.unwrap_or_else(|| panic!("{message} is not among {found:#?}"));
    let line = problem
        .strip_prefix("host.yaml:")
        .and_then(|rest| rest.split(':').next());
    assert!(line.unwrap().parse::<usize>().is_ok(), "{problem}");
}

/// Reports of invalid settings end up in logs, so they must not contain a secret.
#[test]
fn a_problem_with_a_secret_does_not_print_it() {
    let found = problems(&EXAMPLE.replace("replace-me-before-use", "hush-hush"));
    assert!(
        found[0].contains("secret") && !found[0].contains("hush"),
        "{found:?}"
    );
}

#[test]
fn a_missing_file_is_reported_with_its_name() {
    let error = Settings::read(Path::new("/nonexistent/host.yaml")).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("/nonexistent/host.yaml:1: (file): can't be read")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn broken_settings_never_panic_and_name_file_and_line(
        at in 0..EXAMPLE.len(),
        cut in 0_usize..40,
        noise in prop::collection::vec(prop::sample::select(YAML_FRAGMENTS), 0..6),
    ) {
        let text = corrupt(EXAMPLE, at, cut, &noise);
        for line in problems(&text) {
            prop_assert!(names_file_and_line(&line, "host.yaml"), "{}", line);
        }
    }
}
