//! The record of a run: one line an event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes the record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("cannot create record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// The time since the start, in seconds.
    pub fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now_s(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        file.write_all(line.as_bytes())
            .expect("cannot write the record");
    }
}
