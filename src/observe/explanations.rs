//! A store of the explanations of the latest requests, bounded in requests and bytes.

use std::borrow::Cow;
use std::mem::size_of;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::observe::Explanation;
use crate::observe::Step;
use crate::observe::StepKind;
use crate::units::RequestId;
use crate::units::whole_millis;

/// The number of shards. With 16 of them, a dozen threads rarely contend for the same lock.
const SHARD_COUNT: usize = 16;

/// The limits on the explanations of a host, summed over all shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExplanationLimits {
    /// The maximum number of requests.
    pub requests: usize,
    /// The maximum memory in bytes, estimated from the sizes of the structures and texts.
    pub bytes: usize,
    /// The maximum number of steps per request. Beyond it, steps in the middle are removed, since
    /// the first and the last ones are the most useful.
    pub steps: usize,
    /// The maximum length of one text in bytes; longer texts are truncated.
    pub text_bytes: usize,
}

impl Default for ExplanationLimits {
    /// 16,384 requests cover 19 minutes on a host that receives 14 requests per second, which is
    /// the share of one of 400 hosts in 5,600 requests per second. 16 MiB are one sixteenth of such
    /// a host's memory and hold 16,384 requests of the usual size.
    fn default() -> Self {
        Self {
            requests: 16_384,
            bytes: 16 << 20,
            steps: 32,
            text_bytes: 256,
        }
    }
}

/// The explanations of the latest requests, in shards with a lock each. The oldest requests of a
/// shard are evicted first.
pub struct Explanations {
    clock: Arc<dyn Clock>,
    limits: ExplanationLimits,
    shards: Vec<Mutex<Shard>>,
}

/// The explanations of the requests whose ids map to one shard, with the oldest request first.
#[derive(Default)]
struct Shard {
    entries: IndexMap<RequestId, Entry>,
    bytes: usize,
}

/// The recorded steps of one request and their estimated memory in bytes.
struct Entry {
    started: Instant,
    steps: Vec<Step>,
    left_out: u64,
    bytes: usize,
}

impl Explanations {
    /// Creates an empty store. `clock` gives the times of the recorded steps.
    pub fn new(clock: Arc<dyn Clock>, limits: ExplanationLimits) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            clock,
            limits,
            shards,
        }
    }

    /// Records a step of a request. `place` is the upstream or host that the step concerns, or
    /// empty. Texts that are too long are truncated. If the store is full, the oldest requests are
    /// evicted.
    pub fn record(
        &self,
        request: RequestId,
        what: StepKind,
        place: &str,
        why: impl Into<Cow<'static, str>>,
    ) {
        let now = self.clock.now();
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let mut step = Step {
            wall_ms: whole_millis(wall.unwrap_or_default()),
            elapsed_ms: 0,
            what,
            place: truncate(place, self.limits.text_bytes).to_owned(),
            why: truncate_cow(why.into(), self.limits.text_bytes),
        };
        let mut shard = self.shard(request);
        let previous = shard.entries.get(&request);
        let previous_bytes = previous.map_or(0, |entry| entry.bytes);
        let entry = shard
            .entries
            .entry(request)
            .or_insert_with(|| Entry::new(now));
        step.elapsed_ms = whole_millis(now.saturating_duration_since(entry.started));
        entry.push(step, self.limits.steps);
        let entry_bytes = entry.bytes;
        shard.bytes = shard.bytes + entry_bytes - previous_bytes;
        shard.evict(
            self.limits.requests / SHARD_COUNT,
            self.limits.bytes / SHARD_COUNT,
        );
    }

    /// Returns the recorded steps of a request, or `None` if it is unknown or has been evicted.
    pub fn get(&self, request: RequestId) -> Option<Explanation> {
        let shard = self.shard(request);
        let entry = shard.entries.get(&request)?;
        Some(Explanation {
            request_id: request,
            steps: entry.steps.clone(),
            left_out: entry.left_out,
        })
    }

    /// Returns the number of requests in the store and their estimated memory in bytes.
    pub fn size(&self) -> (usize, usize) {
        let sizes = self.shards.iter().map(|shard| {
            let shard = lock(shard);
            (shard.entries.len(), shard.bytes)
        });
        sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1))
    }

    /// Locks the shard that a request belongs to.
    fn shard(&self, request: RequestId) -> MutexGuard<'_, Shard> {
        let index = usize::try_from(request.0 % SHARD_COUNT as u128).unwrap_or(0);
        lock(&self.shards[index])
    }
}

impl Shard {
    /// Evicts the oldest requests until the shard is within the limits. The newest request is kept
    /// regardless of its size.
    fn evict(&mut self, requests_max: usize, bytes_max: usize) {
        let mut evicted = 0;
        let mut bytes = self.bytes;
        let len = self.entries.len();
        for entry in self.entries.values() {
            let fits = len - evicted <= requests_max && bytes <= bytes_max;
            if fits || evicted + 1 >= len {
                break;
            }
            bytes -= entry.bytes;
            evicted += 1;
        }
        self.entries.drain(..evicted);
        self.bytes = bytes;
    }
}

impl Entry {
    fn new(started: Instant) -> Self {
        Self {
            started,
            steps: Vec::new(),
            left_out: 0,
            bytes: size_of::<Self>() + size_of::<RequestId>(),
        }
    }

    /// Adds a step. With `steps_max` steps or more, this first removes the one in the middle.
    fn push(&mut self, step: Step, steps_max: usize) {
        if self.steps.len() >= steps_max.max(2) {
            let removed = self.steps.remove(steps_max.max(2) / 2);
            self.bytes -= step_bytes(&removed);
            self.left_out += 1;
        }
        self.bytes += step_bytes(&step);
        self.steps.push(step);
    }
}

/// Estimates the memory of a step in bytes. Static texts take none.
fn step_bytes(step: &Step) -> usize {
    let why = match &step.why {
        Cow::Borrowed(_) => 0,
        Cow::Owned(text) => text.len(),
    };
    size_of::<Step>() + step.place.len() + why
}

/// Truncates a text to at most `len_max` bytes at a character boundary.
fn truncate(text: &str, len_max: usize) -> &str {
    &text[..text.floor_char_boundary(len_max)]
}

fn truncate_cow(text: Cow<'static, str>, len_max: usize) -> Cow<'static, str> {
    if text.len() <= len_max {
        return text;
    }
    truncate(&text, len_max).to_owned().into()
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
