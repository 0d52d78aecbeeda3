//! The driver of the claim shards of a host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::control::claims::Claim;
use crate::control::claims::ClaimConf;
use crate::control::claims::ClaimKey;
use crate::control::claims::ClaimOutcome;
use crate::control::claims::ClaimRefusal;
use crate::control::claims::ClaimShard;
use crate::control::claims::ClaimState;
use crate::control::claims::ShardAction;
use crate::objects::ObjectKey;
use crate::objects::ObjectKind;
use crate::objects::PlatformClient;
use crate::units::AttemptId;

/// The claims of this host. The store needs a tokio runtime with time enabled: each shard with
/// pending work is driven by its own task, which ends when nothing is pending.
///
/// Dropping the future of [`ClaimStore::claim`] gives the claim back. A caller may dispatch only if
/// it gets [`ClaimOutcome::Claimed`].
pub struct ClaimStore {
    conf: ClaimConf,
    drivers: Vec<Arc<ShardDriver>>,
}

/// One shard, its object in the platform, and the state that its task shares with callers.
struct ShardDriver {
    object: ObjectKey,
    platform: Arc<dyn PlatformClient>,
    clock: Arc<dyn Clock>,
    state: Mutex<DriverState>,
    changed: Notify,
}

struct DriverState {
    shard: ClaimShard,
    /// The callers that wait for the outcome of a claim.
    waiters: IndexMap<AttemptId, oneshot::Sender<ClaimOutcome>>,
    /// Whether a task drives the shard.
    has_task: bool,
}

impl ClaimStore {
    /// A store that records its claims in `platform`, which may relay calls through peers.
    pub fn new(
        platform: &Arc<dyn PlatformClient>,
        clock: &Arc<dyn Clock>,
        conf: ClaimConf,
        rng: &mut StdRng,
    ) -> Self {
        let driver = |shard: u32| {
            let state = DriverState {
                shard: ClaimShard::new(conf.clone(), StdRng::from_rng(rng)),
                waiters: IndexMap::new(),
                has_task: false,
            };
            Arc::new(ShardDriver {
                object: ObjectKey::new(ObjectKind::Claims, format!("shard-{shard:02}")),
                platform: Arc::clone(platform),
                clock: Arc::clone(clock),
                state: Mutex::new(state),
                changed: Notify::new(),
            })
        };
        let drivers = (0..conf.shards.max(1)).map(driver).collect();
        Self { conf, drivers }
    }

    /// Records a claim before the first dispatch, and waits for the outcome for at most
    /// [`ClaimConf::claim_timeout`]. The attempt may be dispatched only if the outcome is
    /// [`ClaimOutcome::Claimed`]; after a timeout the store gives the claim back.
    pub async fn claim(&self, key: ClaimKey, claim: Claim) -> ClaimOutcome {
        let driver = self.driver(key);
        let attempt = claim.attempt;
        let (sender, outcome) = oneshot::channel();
        let mut guard = GiveBackGuard {
            driver: Some(Arc::clone(&driver)),
            key,
            attempt,
        };
        driver.update(|state, now| {
            state.waiters.insert(attempt, sender);
            state.shard.claim(key, claim, now);
        });
        let outcome = tokio::time::timeout(self.conf.claim_timeout, outcome).await;
        let Ok(Ok(outcome)) = outcome else {
            return ClaimOutcome::Unavailable {
                why: ClaimRefusal::Timeout,
                retry_after: driver.lock().shard.retry_after(),
            };
        };
        guard.driver = None;
        outcome
    }

    /// Gives a claim back, with the promise that its attempt was not and will not be dispatched.
    /// The store retries in the background until the platform has recorded it.
    pub fn give_back(&self, key: ClaimKey, attempt: AttemptId) {
        let give_back = |state: &mut DriverState, now| state.shard.give_back(key, attempt, now);
        self.driver(key).update(give_back);
    }

    /// Records how a claimed attempt ended, so that its claim can be collected later. The store
    /// retries in the background until the platform has recorded it.
    pub fn finish(&self, key: ClaimKey, attempt: AttemptId, state: ClaimState) {
        let finish = |driver: &mut DriverState, now| driver.shard.finish(key, attempt, state, now);
        self.driver(key).update(finish);
    }

    /// The number of claims that are still to be recorded, given back or finished. A draining host
    /// waits a limited time until the number is zero; requests resent for claims that it leaves
    /// behind are told "may have run".
    pub fn pending(&self) -> usize {
        let pending = |driver: &Arc<ShardDriver>| driver.lock().shard.pending();
        self.drivers.iter().map(pending).sum()
    }

    fn driver(&self, key: ClaimKey) -> Arc<ShardDriver> {
        let shard = key.shard(self.conf.shards);
        let index = usize::try_from(shard).unwrap_or(0);
        Arc::clone(&self.drivers[index])
    }
}

impl ShardDriver {
    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the shard, sends the outcomes to their waiters and ensures that a task drives the
    /// shard.
    fn update(self: &Arc<Self>, update: impl FnOnce(&mut DriverState, Instant)) {
        let mut state = self.lock();
        update(&mut state, self.clock.now());
        state.send_outcomes();
        if state.has_task {
            self.changed.notify_one();
            return;
        }
        // A runtime that shuts down drops futures outside its context, where no task can be
        // spawned.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        state.has_task = true;
        runtime.spawn(Arc::clone(self).run());
    }

    /// Carries out the actions of the shard until nothing is pending.
    async fn run(self: Arc<Self>) {
        loop {
            let action = {
                let mut state = self.lock();
                let action = state.shard.step(self.clock.now());
                state.send_outcomes();
                // An idle step may have resolved the pending work or left new work.
                if action == ShardAction::Idle && state.shard.pending() == 0 {
                    state.has_task = false;
                    return;
                }
                action
            };
            self.execute(action).await;
        }
    }

    async fn execute(&self, action: ShardAction) {
        match action {
            ShardAction::Read => {
                let result = self.platform.get(self.object.clone()).await;
                self.lock().shard.on_read(result, self.clock.now());
            }
            ShardAction::Write { value, expected } => {
                let result = match value.to_json() {
                    Ok(json) => self.platform.put(self.object.clone(), json, expected).await,
                    Err(error) => Err(error),
                };
                self.lock().shard.on_written(result, self.clock.now());
            }
            ShardAction::Wait(until) => {
                let wait = until.saturating_duration_since(self.clock.now());
                // Either a change of the shard or the timeout ends the wait.
                let _ = tokio::time::timeout(wait, self.changed.notified()).await;
            }
            ShardAction::Idle => tokio::task::yield_now().await,
        }
    }
}

impl DriverState {
    fn send_outcomes(&mut self) {
        for (attempt, outcome) in self.shard.take_outcomes() {
            // If the waiter is gone, its guard has given the claim back.
            if let Some(waiter) = self.waiters.swap_remove(&attempt) {
                let _ = waiter.send(outcome);
            }
        }
    }
}

/// Gives a claim back on drop, unless its outcome was received.
struct GiveBackGuard {
    driver: Option<Arc<ShardDriver>>,
    key: ClaimKey,
    attempt: AttemptId,
}

impl Drop for GiveBackGuard {
    fn drop(&mut self) {
        let Some(driver) = self.driver.take() else {
            return;
        };
        driver.update(|state, now| {
            state.waiters.swap_remove(&self.attempt);
            state.shard.give_back(self.key, self.attempt, now);
        });
    }
}
