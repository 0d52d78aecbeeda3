//! Explanations of the latest requests, bounded in count and bytes.

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

/// Enough that a dozen threads seldom meet at one lock.
const SHARD_COUNT: usize = 16;

/// How much is kept, over all shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExplanationLimits {
    /// Requests.
    pub requests: usize,
    /// Bytes, as they are counted by the text and the size of the structures.
    pub bytes: usize,
    /// Steps of one request; those in the middle are left out, since the first and last tell most.
    pub steps: usize,
    /// Bytes of one text.
    pub text_bytes: usize,
}

impl Default for ExplanationLimits {
    /// 16,384 requests are 19 minutes of a host that gets 14 a second, the share of one of 400 hosts
    /// in 5,600; 16 MiB are a sixteenth of such a host's memory and hold that many of usual size.
    fn default() -> Self {
        Self {
            requests: 16_384,
            bytes: 16 << 20,
            steps: 32,
            text_bytes: 256,
        }
    }
}

/// Explanations of the latest requests, in shards under their own locks. The oldest go first.
pub struct Explanations {
    clock: Arc<dyn Clock>,
    bounds: ExplanationLimits,
    shards: Vec<Mutex<Shard>>,
}

#[derive(Default)]
struct Shard {
    entries: IndexMap<RequestId, Entry>,
    bytes: usize,
}

struct Entry {
    started: Instant,
    steps: Vec<Step>,
    left_out: u64,
    bytes: usize,
}

impl Explanations {
    /// Keeps nothing yet.
    pub fn new(clock: Arc<dyn Clock>, bounds: ExplanationLimits) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            clock,
            bounds,
            shards,
        }
    }

    /// Notes a step of a request. `place` is the upstream or host it concerns, or empty.
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
            place: clip(place, self.bounds.text_bytes).to_owned(),
            why: clip_cow(why.into(), self.bounds.text_bytes),
        };
        let mut shard = self.shard(request);
        let earlier = shard.entries.get(&request);
        let before_bytes = earlier.map_or(0, |entry| entry.bytes);
        let entry = shard
            .entries
            .entry(request)
            .or_insert_with(|| Entry::new(now));
        step.elapsed_ms = whole_millis(now.saturating_duration_since(entry.started));
        entry.push(step, self.bounds.steps);
        let after_bytes = entry.bytes;
        shard.bytes = shard.bytes + after_bytes - before_bytes;
        shard.evict(
            self.bounds.requests / SHARD_COUNT,
            self.bounds.bytes / SHARD_COUNT,
        );
    }

    /// What is known of a request.
    pub fn get(&self, request: RequestId) -> Option<Explanation> {
        let shard = self.shard(request);
        let entry = shard.entries.get(&request)?;
        Some(Explanation {
            request_id: request,
            steps: entry.steps.clone(),
            left_out: entry.left_out,
        })
    }

    /// How many requests and bytes are kept.
    pub fn size(&self) -> (usize, usize) {
        let sizes = self.shards.iter().map(|shard| {
            let shard = lock(shard);
            (shard.entries.len(), shard.bytes)
        });
        sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1))
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, Shard> {
        let index = usize::try_from(request.0 % SHARD_COUNT as u128).unwrap_or(0);
        lock(&self.shards[index])
    }
}

impl Shard {
    /// Removes the oldest requests until the bounds hold. The newest stays, whatever its size.
    fn evict(&mut self, requests_max: usize, bytes_max: usize) {
        let mut surplus = 0;
        let mut bytes = self.bytes;
        let len = self.entries.len();
        for entry in self.entries.values() {
            let fits = len - surplus <= requests_max && bytes <= bytes_max;
            if fits || surplus + 1 >= len {
                break;
            }
            bytes -= entry.bytes;
            surplus += 1;
        }
        self.entries.drain(..surplus);
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

    fn push(&mut self, step: Step, steps_max: usize) {
        if self.steps.len() >= steps_max.max(2) {
            let dropped = self.steps.remove(steps_max.max(2) / 2);
            self.bytes -= step_bytes(&dropped);
            self.left_out += 1;
        }
        self.bytes += step_bytes(&step);
        self.steps.push(step);
    }
}

fn step_bytes(step: &Step) -> usize {
    let why = match &step.why {
        Cow::Borrowed(_) => 0,
        Cow::Owned(text) => text.len(),
    };
    size_of::<Step>() + step.place.len() + why
}

fn clip(text: &str, len_max: usize) -> &str {
    &text[..text.floor_char_boundary(len_max)]
}

fn clip_cow(text: Cow<'static, str>, len_max: usize) -> Cow<'static, str> {
    if text.len() <= len_max {
        return text;
    }
    clip(&text, len_max).to_owned().into()
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
