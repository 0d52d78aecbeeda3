//! Runs the command-line tool in a temporary directory.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NEXT_DIR_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed at the end of a test.
pub(crate) struct WorkDir(PathBuf);

/// The exit code and the output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    #[allow(dead_code, reason = "not every test file reads it")]
    pub(crate) stderr: String,
}

impl WorkDir {
    /// Creates an empty directory.
    pub(crate) fn new() -> Self {
        let number = NEXT_DIR_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("banyanarch-{}-{number}", process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes a file into the directory.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> &Self {
        fs::write(self.0.join(name), text).unwrap();
        self
    }

    /// Runs the tool with the directory as working directory.
    pub(crate) fn run(&self, args: &[&str]) -> ToolOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_banyanarch"))
            .args(args)
            .current_dir(&self.0)
            .output()
            .unwrap();
        ToolOutput {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
