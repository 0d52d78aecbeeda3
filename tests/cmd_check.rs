//! Tests of `banyanarch check`, `help` and `version`, and of invalid command lines.

mod workdir;

use yare::parameterized;

use workdir::WorkDir;

const MANIFEST: &str = include_str!("../examples/desai/manifest.yaml");
const HOST_1: &str = include_str!("../examples/desai/desai-navrangpura-1.yaml");
const HOST_2: &str = include_str!("../examples/desai/desai-sg-highway-1.yaml");

#[test]
fn valid_files_are_listed_with_their_contents() {
    let dir = WorkDir::new();
    dir.write_file("m.yaml", MANIFEST)
        .write_file("h1.yaml", HOST_1)
        .write_file("h2.yaml", HOST_2);
    let output = dir.run(&["check", "m.yaml", "h1.yaml", "h2.yaml"]);
    assert_eq!((output.code, output.stderr.as_str()), (0, ""));
    assert_eq!(
        output.stdout,
        "m.yaml: good: manifest of desai, 1 models, 1 services, 10 customers\n\
         h1.yaml: good: settings of host desai-navrangpura-1\n\
         h2.yaml: good: settings of host desai-sg-highway-1\n"
    );
}

#[test]
fn problems_of_all_files_are_reported_in_one_run() {
    let dir = WorkDir::new();
    dir.write_file("m.yaml", &MANIFEST.replace("rank: 2", "rank: 1"));
    dir.write_file("h.yaml", &HOST_1.replace("level: info", "level: loud"));
    let output = dir.run(&["check", "m.yaml", "h.yaml", "missing.yaml"]);
    assert_eq!(output.code, 2);
    assert_eq!(
        output.stderr,
        "m.yaml:32: priorities[2].rank: `1` is taken by priorities[1].rank\n\
         h.yaml:37: logs.level: must be one of off, error, warn, info, debug, trace\n\
         missing.yaml:1: (file): can't be read: No such file or directory (os error 2)\n"
    );
}

/// Guards against files that are each valid but contradict each other. Without this check, the
/// conflict shows only after the rollout, when hosts refuse each other's frames or the largest bodies.
#[parameterized(
    key = { "replace-me-before-use", "another-secret-for-one", "peers.keys[0]: is not among the keys of" },
    host = { "host: desai-sg-highway-1\ndeployment", "host: desai-navrangpura-1\ndeployment", "host: `desai-navrangpura-1` is also the host in" },
    deployment = { "deployment: desai", "deployment: acornleaf", "deployment: is not `desai`" },
    memory = { "128MiB", "16MiB", "body_memory_size: 16MiB is smaller than limits.body_size_max of" },
)]
fn conflicts_between_files_are_reported(from: &str, to: &str, expected: &str) {
    let dir = WorkDir::new();
    assert!(HOST_2.contains(from));
    dir.write_file("m.yaml", MANIFEST)
        .write_file("h1.yaml", HOST_1);
    // The seeds are removed, since a seed with the name of this host would be another problem.
    let text = HOST_2.replacen(from, to, 1);
    let text = text.split("  seeds:").next().unwrap();
    dir.write_file(
        "h2.yaml",
        &format!(
            "{text}\nbody_memory_size: {}\n",
            if to == "16MiB" { to } else { "128MiB" }
        ),
    );
    let output = dir.run(&["check", "m.yaml", "h1.yaml", "h2.yaml"]);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(
        output.stderr.starts_with("h2.yaml:") && output.stderr.contains(expected),
        "{output:?}"
    );
}

#[parameterized(
    no_command = { &["launch"], "no command `launch`" },
    no_file = { &["check"], "expected at least one FILE" },
    option = { &["check", "--manifests", "m.yaml"], "unknown option `--manifests`" },
    both = { &["check", "--manifest", "--settings", "m.yaml"], "give one of" },
    address = { &["publish", "m.yaml", "--platform", "here"], "failed to parse 'here'" },
    no_platform = { &["publish", "m.yaml"], "--platform" },
    source = { &["status"], "give one of --host and --platform" },
    no_host = { &["explain", "00000000000000000000000000000001"], "give at least one --host" },
    id = { &["explain", "7", "--host", "127.0.0.1:1"], "expected a request id of 32 hexadecimal" },
)]
fn an_invalid_command_line_is_explained(args: &[&str], expected: &str) {
    let output = WorkDir::new().run(args);
    assert_eq!((output.code, output.stdout.as_str()), (2, ""));
    assert!(output.stderr.contains(expected), "{output:?}");
}

#[test]
fn every_command_has_help() {
    let dir = WorkDir::new();
    let overview = dir.run(&[]);
    assert_eq!(overview.code, 0);
    for command in [
        "check", "diff", "publish", "status", "explain", "help", "version",
    ] {
        assert!(overview.stdout.contains(&format!("\n    {command} ")));
        let by_option = dir.run(&[command, "--help"]);
        let by_command = dir.run(&["help", command]);
        assert!(
            by_option.stdout.contains("Usage:\n    banyanarch"),
            "{by_option:?}"
        );
        assert_eq!(by_option.stdout, by_command.stdout);
    }
    let version = format!("banyanarch {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(dir.run(&["--version"]).stdout, version);
}
