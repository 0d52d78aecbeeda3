//! Drives the shards of claims against the platform.

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
use crate::objects::Kind;
use crate::objects::ObjectKey;
use crate::objects::Platform;
use crate::units::AttemptId;

/// All claims of this host. Needs a tokio runtime with time; each shard that has something to do is
/// driven by a task of its own, which ends when there is nothing left.
///
/// Dropping the future of [`ClaimStore::claim`] gives the claim back: whoever does not see
/// `Claimed` must not dispatch.
pub struct ClaimStore {
    conf: ClaimConf,
    shards: Vec<Arc<Slot>>,
}

struct Slot {
    name: ObjectKey,
    platform: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
    state: Mutex<SlotState>,
    changed: Notify,
}

struct SlotState {
    shard: ClaimShard,
    waiters: IndexMap<AttemptId, oneshot::Sender<ClaimOutcome>>,
    is_driven: bool,
}

impl ClaimStore {
    /// A store over `platform`, which may be a relay through peers.
    pub fn new(
        platform: &Arc<dyn Platform>,
        clock: &Arc<dyn Clock>,
        conf: ClaimConf,
        rng: &mut StdRng,
    ) -> Self {
        let slot = |shard: u32| {
            let state = SlotState {
                shard: ClaimShard::new(conf.clone(), StdRng::from_rng(rng)),
                waiters: IndexMap::new(),
                is_driven: false,
            };
            Arc::new(Slot {
                name: ObjectKey::new(Kind::Claims, format!("shard-{shard:02}")),
                platform: Arc::clone(platform),
                clock: Arc::clone(clock),
                state: Mutex::new(state),
                changed: Notify::new(),
            })
        };
        let shards = (0..conf.shards.max(1)).map(slot).collect();
        Self { conf, shards }
    }

    /// Records a claim before the first dispatch. Only `Claimed` allows to dispatch.
    pub async fn claim(&self, key: ClaimKey, claim: Claim) -> ClaimOutcome {
        let slot = self.slot(key);
        let attempt = claim.attempt;
        let (sender, verdict) = oneshot::channel();
        let mut guard = GiveBackGuard {
            slot: Some(Arc::clone(&slot)),
            key,
            attempt,
        };
        slot.change(|state, now| {
            state.waiters.insert(attempt, sender);
            state.shard.want(key, claim, now);
        });
        let verdict = tokio::time::timeout(self.conf.claim_timeout, verdict).await;
        let Ok(Ok(verdict)) = verdict else {
            return ClaimOutcome::Unavailable {
                why: ClaimRefusal::Timeout,
                retry_after: slot.lock().shard.retry_after(),
            };
        };
        guard.slot = None;
        verdict
    }

    /// Gives a claim back, with the promise that its attempt is and will not be dispatched. It goes
    /// on until the platform has it, also after this call.
    pub fn give_back(&self, key: ClaimKey, attempt: AttemptId) {
        let give_back = |state: &mut SlotState, now| state.shard.give_back(key, attempt, now);
        self.slot(key).change(give_back);
    }

    /// Records how a claimed attempt ended, so that its claim is collected some time later. It goes
    /// on until the platform has it, also after this call.
    pub fn finish(&self, key: ClaimKey, attempt: AttemptId, state: ClaimState) {
        let finish = |slot: &mut SlotState, now| slot.shard.finish(key, attempt, state, now);
        self.slot(key).change(finish);
    }

    /// How many claims are to be recorded, given back or ended. A host that drains waits a bounded
    /// time for none: what it leaves behind answers resends with "may have run".
    pub fn pending(&self) -> usize {
        let pending = |slot: &Arc<Slot>| slot.lock().shard.pending();
        self.shards.iter().map(pending).sum()
    }

    fn slot(&self, key: ClaimKey) -> Arc<Slot> {
        let shard = key.shard(self.conf.shards);
        let index = usize::try_from(shard).unwrap_or(0);
        Arc::clone(&self.shards[index])
    }
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the shard and sees to it that it is driven.
    fn change(self: &Arc<Self>, change: impl FnOnce(&mut SlotState, Instant)) {
        let mut state = self.lock();
        change(&mut state, self.clock.now());
        state.deliver();
        if state.is_driven {
            self.changed.notify_one();
            return;
        }
        // A runtime that shuts down drops futures where nothing can be spawned any more.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        state.is_driven = true;
        runtime.spawn(Arc::clone(self).drive());
    }

    async fn drive(self: Arc<Self>) {
        loop {
            let action = {
                let mut state = self.lock();
                let action = state.shard.step(self.clock.now());
                state.deliver();
                // Told a verdict, the shard may have nothing left or something new to do.
                if action == ShardAction::Idle && state.shard.pending() == 0 {
                    state.is_driven = false;
                    return;
                }
                action
            };
            self.act(action).await;
        }
    }

    async fn act(&self, action: ShardAction) {
        match action {
            ShardAction::Read => {
                let result = self.platform.get(self.name.clone()).await;
                self.lock().shard.read(result, self.clock.now());
            }
            ShardAction::Write { value, expected } => {
                let result = match value.to_json() {
                    Ok(json) => self.platform.put(self.name.clone(), json, expected).await,
                    Err(error) => Err(error),
                };
                self.lock().shard.written(result, self.clock.now());
            }
            ShardAction::Wait(until) => {
                let wait = until.saturating_duration_since(self.clock.now());
                // Something new may be due sooner; so the end of either is no error.
                let _ = tokio::time::timeout(wait, self.changed.notified()).await;
            }
            ShardAction::Idle => tokio::task::yield_now().await,
        }
    }
}

impl SlotState {
    fn deliver(&mut self) {
        for (attempt, verdict) in self.shard.take_verdicts() {
            // One whose waiter has gone was given back by its guard.
            if let Some(waiter) = self.waiters.swap_remove(&attempt) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

/// Gives a claim back when its claimant goes away without a verdict, since it will not dispatch.
struct GiveBackGuard {
    slot: Option<Arc<Slot>>,
    key: ClaimKey,
    attempt: AttemptId,
}

impl Drop for GiveBackGuard {
    fn drop(&mut self) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        slot.change(|state, now| {
            state.waiters.swap_remove(&self.attempt);
            state.shard.give_back(self.key, self.attempt, now);
        });
    }
}
