//! Runs the demo as a user does, with a shorter duration.

use std::process::Command;

/// Callers keep sending while an engine and an entry host are killed. Each caller must learn the
/// outcome of its request, and no grant may run twice: the demo compares what callers were told
/// with what engines and services ran, and reports both counts in its last line.
#[test]
fn nothing_is_lost_or_doubled() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["demo", "--lasts-s", "4", "--seed", "3"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let last = text.lines().last().unwrap_or("");
    assert!(output.status.success(), "{text}");
    assert!(last.ends_with("lost 0, doubled 0"), "{text}");
    assert!(!last.contains("completed 0,"), "{text}");
}
