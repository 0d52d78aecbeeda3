//! State of an engine, shared by its step loop and its API.

use std::io;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::ContentHash;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::engine::EngineFaults;
use crate::engine::EngineOptions;
use crate::engine::attempt::Attempt;
use crate::engine::batch::Batch;
use crate::engine::orders::LoadedState;
use crate::engine::reports::DelayedReports;
use crate::engine::stream::AnswerSource;

/// Interval at which the state is checked when there is no work.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lateness of a step beyond which the schedule restarts at the current time instead of catching
/// up.
const STEP_LATENESS_MAX: Duration = Duration::from_millis(50);

/// State of one engine.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    batch: Mutex<Batch>,
    reports: Mutex<DelayedReports>,
    loaded_state: Mutex<LoadedState>,
    faults: watch::Sender<EngineFaults>,
    /// Notified when there is new work.
    pub(crate) work: Notify,
}

impl Shared {
    /// Creates the state of an idle engine and opens its record file.
    pub(crate) fn new(options: EngineOptions) -> io::Result<Self> {
        let reports = DelayedReports::new(
            Duration::from_millis(options.report_lag_ms),
            Duration::from_millis(options.cache_event_lag_ms),
            options.cache_event_gap_one_in,
        );
        let loaded_state = LoadedState::new(
            options.state.clone(),
            options.checks_fencing,
            Duration::from_millis(options.load_ms),
        );
        Ok(Self {
            batch: Mutex::new(Batch::new(options.clone())?),
            reports: Mutex::new(reports),
            loaded_state: Mutex::new(loaded_state),
            faults: watch::Sender::new(EngineFaults::default()),
            work: Notify::new(),
            options,
        })
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reports(&self) -> MutexGuard<'_, DelayedReports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn loaded_state(&self) -> MutexGuard<'_, LoadedState> {
        self.loaded_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        self.faults.borrow().clone()
    }

    /// Replaces all faults.
    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        self.batch().faults = faults.clone();
        self.faults.send_replace(faults);
    }

    /// Waits until the engine is not frozen.
    pub(crate) async fn wait_until_unfrozen(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    /// Waits until the `die` fault is set.
    pub(crate) async fn wait_for_die_fault(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| faults.die).await;
    }

    /// Runs steps until a prompt crashes the engine.
    pub(crate) async fn run_steps(&self) {
        let mut next_step_at = Instant::now();
        loop {
            self.wait_until_unfrozen().await;
            let now = Instant::now();
            let step = self.batch().plan_step(now);
            self.record_reports(now);
            let Some(step) = step else {
                let _ = tokio::time::timeout(IDLE_POLL_INTERVAL, self.work.notified()).await;
                next_step_at = Instant::now();
                continue;
            };
            if step.crashes {
                return;
            }
            if now > next_step_at + STEP_LATENESS_MAX {
                next_step_at = now;
            }
            next_step_at += step.duration;
            tokio::time::sleep_until(next_step_at.into()).await;
            self.batch().apply_step(&step, Instant::now());
        }
    }

    /// Takes the new events out of the cache and records them with the current load, so that the
    /// API can report both after their lags.
    pub(crate) fn record_reports(&self, now: Instant) {
        let (load, events) = {
            let mut batch = self.batch();
            (batch.load(), batch.cache.drain_events())
        };
        let mut reports = self.reports();
        reports.add_load(load, now);
        reports.add_events(events, now);
    }

    /// Returns the source of an attempt's answer, or `None` when there is no such attempt.
    pub(crate) fn answer_source(&self, id: &str) -> Option<AnswerSource> {
        self.batch().attempts.get(id).map(answer_source_of)
    }

    /// Returns the id and body hash of another attempt, or of a made-up one when there is no other.
    pub(crate) fn other_answer(&self, source: &AnswerSource) -> (String, ContentHash) {
        let batch = self.batch();
        let mut others = batch.attempts.values();
        match others.find(|attempt| attempt.spec.id != source.id) {
            Some(other) => (other.spec.id.clone(), other.spec.body_hash),
            None => {
                let made_up = ContentHash::of(source.id.as_bytes());
                (made_up.to_string(), made_up)
            }
        }
    }
}

fn answer_source_of(attempt: &Attempt) -> AnswerSource {
    AnswerSource {
        id: attempt.spec.id.clone(),
        body_hash: attempt.spec.body_hash,
        prompt_tokens: attempt.spec.prompt_tokens,
        max_tokens: attempt.spec.max_tokens,
        answer_tokens: attempt.answer_tokens,
        progress: attempt.progress.subscribe(),
    }
}
