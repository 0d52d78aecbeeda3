//! `banyanarch check`, `help` and `version`.

mod workdir;

use yare::parameterized;

use workdir::WorkDir;

const MANIFEST: &str = include_str!("../examples/desai/manifest.yaml");
const HOST_1: &str = include_str!("../examples/desai/desai-navrangpura-1.yaml");
const HOST_2: &str = include_str!("../examples/desai/desai-sg-highway-1.yaml");

#[test]
fn good_files_are_told_with_what_they_are() {
    let dir = WorkDir::new();
    dir.file("m.yaml", MANIFEST)
        .file("h1.yaml", HOST_1)
        .file("h2.yaml", HOST_2);
    let ran = dir.run(&["check", "m.yaml", "h1.yaml", "h2.yaml"]);
    assert_eq!((ran.code, ran.stderr.as_str()), (0, ""));
    assert_eq!(
        ran.stdout,
        "m.yaml: good: manifest of desai, 1 models, 1 services, 10 customers\n\
         h1.yaml: good: settings of host desai-navrangpura-1\n\
         h2.yaml: good: settings of host desai-sg-highway-1\n"
    );
}

#[test]
fn problems_of_all_files_are_told_in_one_run() {
    let dir = WorkDir::new();
    dir.file("m.yaml", &MANIFEST.replace("rank: 2", "rank: 1"));
    dir.file("h.yaml", &HOST_1.replace("level: info", "level: loud"));
    let ran = dir.run(&["check", "m.yaml", "h.yaml", "gone.yaml"]);
    assert_eq!(ran.code, 2);
    assert_eq!(
        ran.stderr,
        "m.yaml:32: priorities[2].rank: `1` is taken by priorities[1].rank\n\
         h.yaml:37: logs.level: must be one of off, error, warn, info, debug, trace\n\
         gone.yaml:1: (file): can't be read: No such file or directory (os error 2)\n"
    );
}

/// Each file is good by itself. Rolled out together, two hosts would refuse each other's frames and
/// every body of the largest size, and nobody would see why before it happened.
#[parameterized(
    key = { "replace-me-before-use", "another-secret-for-one", "peers.keys[0]: is not among the keys of" },
    host = { "host: desai-sg-highway-1\ndeployment", "host: desai-navrangpura-1\ndeployment", "host: `desai-navrangpura-1` is the host of" },
    deployment = { "deployment: desai", "deployment: acornleaf", "deployment: is not `desai`" },
    memory = { "128MiB", "16MiB", "body_memory_size: 16MiB can't hold one body" },
)]
fn files_that_do_not_go_together_are_told(from: &str, to: &str, told: &str) {
    let dir = WorkDir::new();
    assert!(HOST_2.contains(from));
    dir.file("m.yaml", MANIFEST).file("h1.yaml", HOST_1);
    // A seed by this host's name elsewhere would be a problem of its own.
    let text = HOST_2.replacen(from, to, 1);
    let text = text.split("  seeds:").next().unwrap();
    dir.file(
        "h2.yaml",
        &format!(
            "{text}\nbody_memory_size: {}\n",
            if to == "16MiB" { to } else { "128MiB" }
        ),
    );
    let ran = dir.run(&["check", "m.yaml", "h1.yaml", "h2.yaml"]);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(
        ran.stderr.starts_with("h2.yaml:") && ran.stderr.contains(told),
        "{ran:?}"
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
fn a_wrong_command_line_says_what_is_wrong(args: &[&str], told: &str) {
    let ran = WorkDir::new().run(args);
    assert_eq!((ran.code, ran.stdout.as_str()), (2, ""));
    assert!(ran.stderr.contains(told), "{ran:?}");
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
