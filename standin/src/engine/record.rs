//! What an engine or a service ran, for checkers.

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

/// One attempt that ran, or runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunRecord {
    /// The attempt's id as it was given.
    pub attempt: String,
    /// The host that dispatched it.
    pub host: String,
    /// The hash of the whole request body.
    pub request_hash: ContentHash,
    /// The caller's idempotency key, where it was passed on.
    pub key: Option<String>,
    /// The path of the call.
    pub path: String,
    /// When it was taken in, in milliseconds of the time of day.
    pub taken_ms: u64,
    /// When it ended; none while it runs or when it died with its process.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: Option<RunEnd>,
    /// Prompt tokens that were read in so far, without cached ones.
    pub prefilled_tokens: u64,
    /// Tokens of the answer so far.
    pub output_tokens: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The whole answer was made.
    Completed,
    /// It was cancelled.
    Cancelled,
    /// Its time ran out.
    TimedOut,
    /// It failed.
    Failed,
}

/// All attempts of one engine or service, in memory and perhaps in a file.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: IndexMap<String, RunRecord>,
    file: Option<File>,
}

impl RunLog {
    /// An empty one; lines are appended to `path` if there is one.
    pub fn new(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self {
            runs: IndexMap::new(),
            file: path.map(open).transpose()?,
        })
    }

    /// Notes a start. It is in the file before this returns, so that a crash can't hide a run.
    pub fn start(&mut self, run: RunRecord) {
        self.append(&run);
        self.runs.insert(run.attempt.clone(), run);
    }

    /// Notes progress; the file hears of it at the end.
    pub fn progress(&mut self, attempt: &str, prefilled_tokens: u64, output_tokens: u64) {
        if let Some(run) = self.runs.get_mut(attempt) {
            run.prefilled_tokens = prefilled_tokens;
            run.output_tokens = output_tokens;
        }
    }

    /// Notes an end.
    pub fn end(&mut self, attempt: &str, end: RunEnd) {
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        run.end = Some(end);
        run.ended_ms = Some(wall_ms());
        let run = run.clone();
        self.append(&run);
    }

    /// All runs so far.
    pub fn all(&self) -> Vec<RunRecord> {
        self.runs.values().cloned().collect()
    }

    /// How many runs there are.
    pub fn len(&self) -> u64 {
        self.runs.len() as u64
    }

    /// Whether nothing ran.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether an attempt of this id ever ran.
    pub fn knows(&self, attempt: &str) -> bool {
        self.runs.contains_key(attempt)
    }

    fn append(&mut self, run: &RunRecord) {
        if let (Some(file), Ok(mut line)) = (&mut self.file, serde_json::to_vec(run)) {
            line.push(b'\n');
            let _ = file.write_all(&line);
        }
    }
}

/// Reads the file of a log. Later lines of an attempt replace earlier ones; a last line that was
/// cut off by a crash is left out.
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

/// The time of day in milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
