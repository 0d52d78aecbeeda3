//! Supervision of the long-running tasks of a host. A host that lives on without one of them would go
//! on serving with what it knew.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::sleep;

use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::units::whole_millis;

/// The pause before a task that has panicked is started again; doubled each time.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// The longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(8);
/// A task that has run for so long starts with the shortest pause again.
const SETTLED_AFTER: Duration = Duration::from_secs(60);

/// The number of long-running tasks that have panicked and were not started again yet.
#[derive(Debug, Default)]
pub(crate) struct StoppedTasks(AtomicUsize);

impl StoppedTasks {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// Runs a task to its end. If it panics, it is started again after a pause, in which this host is not
/// ready.
pub(crate) async fn supervise<F>(gateway: Arc<Gateway>, task: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    let mut pause = PAUSE_MIN;
    loop {
        let started_at = gateway.clock.now();
        let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await else {
            return;
        };
        let ran_for = gateway.clock.now().saturating_duration_since(started_at);
        if ran_for >= SETTLED_AFTER {
            pause = PAUSE_MIN;
        }
        log_panic(&gateway, task, panic.as_ref(), Some(pause));
        gateway.stopped_tasks.0.fetch_add(1, Ordering::Relaxed);
        sleep(pause).await;
        gateway.stopped_tasks.0.fetch_sub(1, Ordering::Relaxed);
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

/// Runs a task that cannot be started again. If it panics, this host shuts down.
pub(crate) async fn supervise_once(
    gateway: Arc<Gateway>,
    task: &'static str,
    future: impl Future<Output = ()>,
) {
    if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
        log_panic(&gateway, task, panic.as_ref(), None);
        gateway.begin_shutdown();
    }
}

/// Logs a panic of a task, which is started again after `pause`; none if this host shuts down.
fn log_panic(
    gateway: &Gateway,
    task: &'static str,
    panic: &(dyn Any + Send),
    pause: Option<Duration>,
) {
    gateway.metrics.record_task_panic(task);
    gateway.log.record(DecisionEvent::TaskPanicked {
        task: task.into(),
        error: panic_message(panic),
        restarted_after_ms: pause.map(whole_millis),
    });
}

/// The message of a panic, if it has one.
pub(crate) fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message").to_owned()
}
