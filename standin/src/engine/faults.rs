//! Faults that can be injected into a fake engine.

use serde::Deserialize;
use serde::Serialize;

/// Faults of a fake engine; the default has none.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Crash now: the process exits, or the server closes all its connections.
    pub die: bool,
    /// Run no step and answer no call.
    pub freeze: bool,
    /// Factor by which the duration of each step is multiplied.
    pub slow_factor: f64,
    /// Send the id and text of another attempt in each answer.
    pub cross_answers: bool,
    /// Delay of each piece of an answer, in milliseconds.
    pub delay_answers_ms: u64,
    /// Cut the connection of every n-th answer after half of its tokens; the attempt continues. 0
    /// for none.
    pub cut_one_in: u64,
    /// End every n-th answer after half of its tokens, without an end mark; 0 for none.
    pub short_one_in: u64,
    /// Fail every n-th attempt with status 500 before its first token; 0 for none.
    pub fail_one_in: u64,
    /// Report that nothing runs and no memory is used.
    pub lose_memory_count: bool,
    /// Keep the memory of every n-th ended attempt until it is cancelled; 0 for none.
    pub leak_one_in: u64,
    /// Factor by which the counts of load reports are multiplied.
    pub report_factor: f64,
    /// Text that crashes the engine when it prefills a prompt that contains it.
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
