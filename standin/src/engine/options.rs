//! Configuration of a fake engine.

use std::net::SocketAddr;
use std::path::PathBuf;

use banyanarch::upstream::EngineState;

/// Options that stay fixed while an engine runs. Default speeds are at least ten times those of
/// real engines, so that a meaningful run takes seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Memory for keys and values, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of attempts in one batch.
    pub slots: usize,
    /// Maximum number of attempts that wait for memory or a slot; more are refused.
    pub queue_max: usize,
    /// Prefill speed in tokens a second, without decode work beside it.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk_tokens: u64,
    /// Base duration of a step, in microseconds.
    pub step_base_us: u64,
    /// Duration that each decoding attempt adds to a step, in microseconds.
    pub step_per_attempt_us: u64,
    /// Length limit of an answer, in tokens, for a request that sets none.
    pub output_tokens_default: u64,
    /// How long ended attempts are kept for readers, in milliseconds.
    pub keep_ended_ms: u64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Drop every n-th cache event; 0 for none.
    pub cache_event_gap_one_in: u64,
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fencing: bool,
    /// How long it takes to load a model, in milliseconds.
    pub load_ms: u64,
    /// Speed at which cached prefixes are exported and imported, in tokens a second.
    pub kv_tokens_per_second: f64,
    /// The state of the engine at its start.
    pub state: EngineState,
    /// File to which starts and ends of attempts are appended as lines of JSON, so that the record
    /// outlives a crash.
    pub record_file: Option<PathBuf>,
    /// Whether a crash exits the process. Engines inside a test process only close their server.
    pub exits: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_tokens: 200_000,
            slots: 64,
            queue_max: 256,
            prefill_tokens_per_second: 100_000.0,
            prefill_chunk_tokens: 1_024,
            step_base_us: 4_000,
            step_per_attempt_us: 50,
            output_tokens_default: 64,
            keep_ended_ms: 30_000,
            report_lag_ms: 500,
            cache_event_lag_ms: 500,
            cache_event_gap_one_in: 10,
            checks_fencing: false,
            load_ms: 500,
            kv_tokens_per_second: 1e6,
            state: EngineState {
                model: "model".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
                role: "mixed".to_owned(),
                loading: false,
            },
            record_file: None,
            exits: false,
        }
    }
}

impl EngineOptions {
    /// Reads the options that the usage text lists.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, pico_args::Error> {
        let mut options = Self {
            exits: true,
            ..Self::default()
        };
        let o = &mut options;
        set(args, "--listen", &mut o.listen)?;
        set(args, "--memory-tokens", &mut o.memory_tokens)?;
        set(args, "--slots", &mut o.slots)?;
        set(args, "--queue-max", &mut o.queue_max)?;
        set(args, "--prefill-speed", &mut o.prefill_tokens_per_second)?;
        set(args, "--prefill-chunk", &mut o.prefill_chunk_tokens)?;
        set(args, "--step-base-us", &mut o.step_base_us)?;
        set(args, "--step-per-attempt-us", &mut o.step_per_attempt_us)?;
        set(args, "--report-lag-ms", &mut o.report_lag_ms)?;
        set(args, "--cache-event-lag-ms", &mut o.cache_event_lag_ms)?;
        set(args, "--cache-event-gap", &mut o.cache_event_gap_one_in)?;
        set(args, "--load-ms", &mut o.load_ms)?;
        set(args, "--model", &mut o.state.model)?;
        set(args, "--version", &mut o.state.version)?;
        o.checks_fencing = args.contains("--checks-fencing");
        o.record_file = args.opt_value_from_str("--record")?;
        Ok(options)
    }
}

fn set<T>(
    args: &mut pico_args::Arguments,
    name: &'static str,
    value: &mut T,
) -> Result<(), pico_args::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    if let Some(given) = args.opt_value_from_str(name)? {
        *value = given;
    }
    Ok(())
}
