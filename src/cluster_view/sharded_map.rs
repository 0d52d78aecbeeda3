//! A concurrent map that is divided into shards, each under its own lock.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;

/// The number of shards. With a dozen threads, contention for one of this many locks is rare.
const SHARD_COUNT: usize = 32;

/// A concurrent map that is divided into shards, each under its own lock. No call holds more than
/// one lock, which rules out deadlocks.
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    hasher: RandomState,
    shards: Vec<Mutex<IndexMap<K, V>>>,
    changes: AtomicU64,
}

impl<K: Hash + Eq + Clone, V> ShardedMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        let shards = (0..SHARD_COUNT)
            .map(|_| Mutex::new(IndexMap::new()))
            .collect();
        Self {
            hasher: RandomState::new(),
            shards,
            changes: AtomicU64::new(0),
        }
    }

    /// A counter that grows with each call that may have changed the map. Results derived from the
    /// whole map need to be recomputed only if the counter has grown.
    pub fn change_count(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// Sets the value of a key and returns the previous one, if any.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        let before = self.shard(&key).insert(key, value);
        self.record_change();
        before
    }

    /// Removes the value of a key and returns it; none if the map does not contain the key.
    pub fn remove(&self, key: &K) -> Option<V> {
        let before = self.shard(key).swap_remove(key);
        self.record_change();
        before
    }

    /// Runs `change` on the value of a key under the lock of its shard, and returns its result;
    /// none if the map does not contain the key.
    pub fn update<R>(&self, key: &K, change: impl FnOnce(&mut V) -> R) -> Option<R> {
        let changed = self.shard(key).get_mut(key).map(change);
        self.record_change();
        changed
    }

    /// Runs `change` on the value of a key under the lock of its shard, and returns its result. If
    /// the map does not contain the key, `make` creates the value first.
    pub fn upsert<R>(
        &self,
        key: &K,
        make: impl FnOnce() -> V,
        change: impl FnOnce(&mut V) -> R,
    ) -> R {
        let changed = change(self.shard(key).entry(key.clone()).or_insert_with(make));
        self.record_change();
        changed
    }

    /// Removes all entries for which `keep` returns false. `keep` may change values. The shards are
    /// locked one after another, so other threads may change the map meanwhile.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            lock(shard).retain(&mut keep);
        }
        self.record_change();
    }

    /// Counts the values for which `predicate` returns true. Other threads may change the map
    /// meanwhile.
    pub fn count(&self, mut predicate: impl FnMut(&V) -> bool) -> usize {
        let count_in_shard = |shard: &Mutex<IndexMap<K, V>>| {
            lock(shard)
                .values()
                .filter(|value| predicate(value))
                .count()
        };
        self.shards.iter().map(count_in_shard).sum()
    }

    /// The number of entries. Other threads may change the map meanwhile.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn record_change(&self) {
        self.changes.fetch_add(1, Ordering::Release);
    }

    fn shard(&self, key: &K) -> MutexGuard<'_, IndexMap<K, V>> {
        let hash = self.hasher.hash_one(key);
        let index = usize::try_from(hash % SHARD_COUNT as u64).unwrap_or(0);
        lock(&self.shards[index])
    }
}

impl<K: Hash + Eq + Clone, V: Clone> ShardedMap<K, V> {
    /// Returns a copy of the value of a key.
    pub fn get(&self, key: &K) -> Option<V> {
        self.shard(key).get(key).cloned()
    }

    /// Returns a copy of all entries. The shards are copied one after another, so other threads may
    /// change the map meanwhile.
    pub fn snapshot(&self) -> Vec<(K, V)> {
        let copy = |shard: &Mutex<IndexMap<K, V>>| -> Vec<(K, V)> {
            lock(shard)
                .iter()
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect()
        };
        self.shards.iter().flat_map(copy).collect()
    }
}

impl<K: Hash + Eq + Clone, V> Default for ShardedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

fn lock<K, V>(shard: &Mutex<IndexMap<K, V>>) -> MutexGuard<'_, IndexMap<K, V>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
