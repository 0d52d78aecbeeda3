//! How a stand-in engine is made.

use std::net::SocketAddr;
use std::path::PathBuf;

use banyanarch::upstream::EngineState;

/// What is fixed while an engine runs. Speeds are ten times those of real engines or more, so that
/// a run that shows something takes seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Memory for keys and values.
    pub memory_tokens: u64,
    /// Attempts in one batch.
    pub slots: usize,
    /// Attempts that may wait for memory or a slot; more are refused.
    pub queue_max: usize,
    /// Prompt tokens read in a second when there is only that to do.
    pub prefill_tokens_per_second: f64,
    /// Prompt tokens read in at most in one step.
    pub prefill_chunk_tokens: u64,
    /// The time of a step.
    pub step_base_us: u64,
    /// What each attempt that decodes adds to a step.
    pub step_per_attempt_us: u64,
    /// The longest answer of a request that names none.
    pub output_tokens_default: u64,
    /// How long ended answers are kept.
    pub keep_ended_ms: u64,
    /// How old a load report is.
    pub report_lag_ms: u64,
    /// How late cache events are.
    pub cache_event_lag_ms: u64,
    /// Of each so many cache events one is missing; 0 for none.
    pub cache_event_gap_one_in: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// How long a load takes.
    pub load_ms: u64,
    /// Tokens exported or imported a second.
    pub kv_tokens_per_second: f64,
    /// What is loaded at the start.
    pub state: EngineState,
    /// Where starts and ends are written as lines of JSON, so that they outlive a crash.
    pub record_file: Option<PathBuf>,
    /// Whether a death ends the process. In a test it only closes the server.
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
    /// Reads the options that the usage text names.
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
