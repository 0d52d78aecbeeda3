//! Directory for the settings, records and logs of one run.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

const TAIL_LINES: usize = 20;

/// A new directory under the system's temporary directory, removed when dropped.
#[derive(Debug)]
pub struct WorkDir {
    path: PathBuf,
    is_kept: bool,
}

impl WorkDir {
    /// Creates the directory.
    pub fn new() -> io::Result<Self> {
        let name = format!(
            "standin-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self {
            path,
            is_kept: false,
        })
    }

    /// Returns the path of a file in the directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the path of the directory.
    pub fn root(&self) -> &Path {
        &self.path
    }

    /// Keeps the directory when `self` is dropped.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }

    /// Returns the last lines of the log of a process.
    pub fn tail(&self, name: &str) -> String {
        let text = fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(TAIL_LINES);
        format!("--- {name}\n{}\n", lines[first..].join("\n"))
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        if self.is_kept {
            eprintln!("logs are in {}", self.path.display());
        } else {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
