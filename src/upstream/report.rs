//! Reports of engines about themselves.

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::Tokens;

/// The load of an engine. A report can be as old as the reporting interval of the engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Number of attempts in progress.
    pub running: u64,
    /// Number of attempts in the queue of the engine.
    pub waiting: u64,
    /// Memory in use, in tokens.
    pub used_tokens: Tokens,
    /// Total memory, in tokens.
    pub capacity_tokens: Tokens,
    /// Number of prompt tokens that still have to be processed.
    pub prefill_backlog_tokens: Tokens,
    /// Prefill speed of the engine while it does nothing else, in tokens per second.
    pub prefill_tokens_per_second: f64,
}

/// An attempt that holds memory of an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RunningAttempt {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The host that dispatched it.
    pub host: HostId,
    /// Memory that the attempt holds, in tokens.
    pub held_tokens: Tokens,
}

/// A change of the prefix cache of an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event. Numbers may be missing.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The hash of the prefix.
    pub prefix: ContentHash,
    /// Length of the prefix, in tokens.
    pub tokens: Tokens,
}

/// What happened to a prefix in a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}
