//! The demo as a stranger runs it, only shorter.

use std::process::Command;

/// Callers keep sending while an engine and an entry host are killed. Each of them learns what
/// became of its request, and no grant is made twice: the demo compares what callers saw with what
/// engines and services ran, and says so in its last line.
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
