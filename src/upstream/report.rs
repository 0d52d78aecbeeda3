//! What engines report of themselves.

use crate::units::AttemptId;
use crate::units::ContentHash;
use crate::units::HostId;
use crate::units::Tokens;

/// An engine's load, as old as the engine's reporting interval.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Attempts that are being worked on.
    pub running: u64,
    /// Attempts that wait inside the engine.
    pub waiting: u64,
    /// Memory held.
    pub used_tokens: Tokens,
    /// Memory in all.
    pub capacity_tokens: Tokens,
    /// Prompt tokens that still have to be read in.
    pub prefill_backlog_tokens: Tokens,
    /// The engine's own prefill speed when it has only that to do.
    pub prefill_tokens_per_second: f64,
}

/// An attempt that holds memory of an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The host that dispatched it.
    pub host: HostId,
    /// The memory it holds.
    pub held_tokens: Tokens,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// The event's number; numbers may be missing.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The prefix.
    pub prefix: ContentHash,
    /// Its length.
    pub tokens: Tokens,
}

/// What happened to a prefix in a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}
