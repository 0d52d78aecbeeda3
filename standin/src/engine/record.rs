//! Records of what an engine or service ran, for checkers.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use banyanarch::units::ContentHash;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunRecord {
    /// The id of the attempt, as the host gave it.
    pub attempt: String,
    /// The host that dispatched the attempt.
    pub host: String,
    /// The hash of the whole request body.
    pub request_hash: ContentHash,
    /// The idempotency key of the caller, if the host passed it on.
    pub key: Option<String>,
    /// The path of the call.
    pub path: String,
    /// When the attempt was accepted, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
    /// When the attempt ended, in milliseconds since the Unix epoch; `None` while it runs, or if
    /// its process died first.
    pub ended_ms: Option<u64>,
    /// How the attempt ended.
    pub end: Option<RunEnd>,
    /// Prompt tokens that were prefilled so far, without cached ones.
    pub prefilled_tokens: u64,
    /// Tokens of the answer that were generated so far.
    pub output_tokens: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The whole answer was generated.
    Completed,
    /// The attempt was cancelled.
    Cancelled,
    /// The deadline passed.
    TimedOut,
    /// The attempt failed.
    Failed,
}

/// The records of one engine or service, in memory and optionally in a file.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: IndexMap<String, RunRecord>,
    file: Option<File>,
}

impl RunLog {
    /// Creates an empty log; records are appended to the file at `path`, if there is one.
    pub fn new(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self {
            runs: IndexMap::new(),
            file: path.map(open).transpose()?,
        })
    }

    /// Records a start. The record is written to the file before this function returns, so that a
    /// crash can't hide a run.
    pub fn start(&mut self, run: RunRecord) {
        self.append(&run);
        self.runs.insert(run.attempt.clone(), run);
    }

    /// Records progress in memory; the file gets the counts with the end of the attempt.
    pub fn progress(&mut self, attempt: &str, prefilled_tokens: u64, output_tokens: u64) {
        if let Some(run) = self.runs.get_mut(attempt) {
            run.prefilled_tokens = prefilled_tokens;
            run.output_tokens = output_tokens;
        }
    }

    /// Records an end.
    pub fn end(&mut self, attempt: &str, end: RunEnd) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        run.end = Some(end);
        run.ended_ms = Some(unix_time_ms());
        let run = run.clone();
        self.append(&run);
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<RunRecord> {
        self.runs.values().cloned().collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> u64 {
        self.runs.len() as u64
    }

    /// Returns whether the log has no record.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether an attempt with this id was ever recorded.
    pub fn contains(&self, attempt: &str) -> bool {
        self.runs.contains_key(attempt)
    }

    fn append(&mut self, run: &RunRecord) {
        if let (Some(file), Ok(mut line)) = (&mut self.file, serde_json::to_vec(run)) {
            line.push(b'\n');
            let _ = file.write_all(&line);
        }
    }
}

/// Reads the file of a log. Later lines of an attempt replace earlier ones; lines that can't be
/// parsed, such as a last line truncated by a crash, are skipped.
pub fn read_runs(path: &Path) -> io::Result<Vec<RunRecord>> {
    let text = std::fs::read_to_string(path)?;
    let parsed = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let by_attempt: IndexMap<String, RunRecord> = parsed
        .map(|run: RunRecord| (run.attempt.clone(), run))
        .collect();
    Ok(by_attempt.into_values().collect())
}

/// Returns the time since the Unix epoch, in milliseconds.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
