//! What can be wrong with an engine.

use serde::Deserialize;
use serde::Serialize;

/// Faults of an engine; the default is none.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// It dies now: the process exits, or the server closes and cuts all connections.
    pub die: bool,
    /// It stands still: no step, no answer.
    pub freeze: bool,
    /// Each step takes so many times as long.
    pub slow_factor: f64,
    /// Each answer carries the id and text of another attempt.
    pub cross_answers: bool,
    /// Each piece of an answer comes so much later.
    pub delay_answers_ms: u64,
    /// Of each so many answers one is cut off after half of its tokens; the attempt goes on.
    pub cut_one_in: u64,
    /// Of each so many answers one ends after half of its tokens, without an end mark.
    pub short_one_in: u64,
    /// Of each so many attempts one fails with a status of 500 before its first token.
    pub fail_one_in: u64,
    /// Load reports say that nothing runs and nothing is used.
    pub lose_memory_count: bool,
    /// Of each so many ended attempts one keeps its memory until it is cancelled.
    pub leak_one_in: u64,
    /// Load reports are wrong by this factor.
    pub report_factor: f64,
    /// A prompt with this text in it kills the engine when it is read in.
    pub crash_marker: Option<String>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            die: false,
            freeze: false,
            slow_factor: 1.0,
            cross_answers: false,
            delay_answers_ms: 0,
            cut_one_in: 0,
            short_one_in: 0,
            fail_one_in: 0,
            lose_memory_count: false,
            leak_one_in: 0,
            report_factor: 1.0,
            crash_marker: None,
        }
    }
}
