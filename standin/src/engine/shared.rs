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
use crate::engine::orders::Loaded;
use crate::engine::reports::Reports;
use crate::engine::stream::Source;

/// Interval at which the state is checked when there is no work.
const IDLE_PAUSE: Duration = Duration::from_millis(20);
/// Lateness of a step beyond which the schedule restarts at the current time instead of catching
/// up.
const LATE_MAX: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    batch: Mutex<Batch>,
    reports: Mutex<Reports>,
    loaded: Mutex<Loaded>,
    faults: watch::Sender<EngineFaults>,
    /// Notified when there is new work.
    pub(crate) work: Notify,
}

impl Shared {
    pub(crate) fn new(options: EngineOptions) -> io::Result<Self> {
        let reports = Reports::new(
            Duration::from_millis(options.report_lag_ms),
            Duration::from_millis(options.cache_event_lag_ms),
            options.cache_event_gap_one_in,
        );
        let loaded = Loaded::new(
            options.state.clone(),
            options.checks_fencing,
            Duration::from_millis(options.load_ms),
        );
        Ok(Self {
            batch: Mutex::new(Batch::new(options.clone())?),
            reports: Mutex::new(reports),
            loaded: Mutex::new(loaded),
            faults: watch::Sender::new(EngineFaults::default()),
            work: Notify::new(),
            options,
        })
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn loaded(&self) -> MutexGuard<'_, Loaded> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        self.faults.borrow().clone()
    }

    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        self.batch().faults = faults.clone();
        self.faults.send_replace(faults);
    }

    /// Waits until the engine is not frozen.
    pub(crate) async fn wait_until_thawed(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    /// Waits for the `die` fault.
    pub(crate) async fn told_to_die(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| faults.die).await;
    }

    /// Runs steps until a prompt crashes the engine.
    pub(crate) async fn run_steps(&self) {
        let mut next = Instant::now();
        loop {
            self.wait_until_thawed().await;
            let now = Instant::now();
            let step = self.batch().plan(now);
            self.note(now);
            let Some(step) = step else {
                let _ = tokio::time::timeout(IDLE_PAUSE, self.work.notified()).await;
                next = Instant::now();
                continue;
            };
            if step.crashes {
                return;
            }
            if now > next + LATE_MAX {
                next = now;
            }
            next += step.takes;
            tokio::time::sleep_until(next.into()).await;
            self.batch().apply(&step, Instant::now());
        }
    }

    /// Records the current load and the new cache events for later reports.
    pub(crate) fn note(&self, now: Instant) {
        let (load, events) = {
            let mut batch = self.batch();
            (batch.load(), batch.cache.take_events())
        };
        let mut reports = self.reports();
        reports.add_load(load, now);
        reports.add_events(events, now);
    }

    /// Returns what a reader of this attempt needs; `None` when there is no such attempt.
    pub(crate) fn source(&self, id: &str) -> Option<Source> {
        self.batch().attempts.get(id).map(source_of)
    }

    /// Returns the id and body hash of another attempt, or of a made-up one when there is no other.
    pub(crate) fn another(&self, source: &Source) -> (String, ContentHash) {
        let batch = self.batch();
        let mut others = batch.attempts.values();
        match others.find(|attempt| attempt.offer.id != source.id) {
            Some(other) => (other.offer.id.clone(), other.offer.body_hash),
            None => {
                let never = ContentHash::of(source.id.as_bytes());
                (never.to_string(), never)
            }
        }
    }
}

fn source_of(attempt: &Attempt) -> Source {
    Source {
        id: attempt.offer.id.clone(),
        body_hash: attempt.offer.body_hash,
        prompt_tokens: attempt.offer.prompt_tokens,
        max_tokens: attempt.offer.max_tokens,
        answer_tokens: attempt.answer_tokens,
        progress: attempt.progress.subscribe(),
    }
}
