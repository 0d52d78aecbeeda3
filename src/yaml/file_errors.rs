//! The error type for a file with problems.

use std::error::Error;
use std::fmt;

use crate::yaml::Problem;
use crate::yaml::Problems;

/// All problems of one file, displayed one per line as `FILE:LINE: FIELD: PROBLEM`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileErrors {
    /// The file name as the caller gave it.
    pub file: String,
    /// The problems, ordered by line; never empty.
    pub problems: Vec<Problem>,
}

impl FileErrors {
    /// Builds the error from the problems of a file.
    pub fn new(file: &str, problems: Problems) -> Self {
        Self {
            file: file.to_owned(),
            problems: problems.into_sorted(),
        }
    }

    /// Builds the error for a file that can't be read from disk.
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let problem = Problem {
            line: 1,
            field: "(file)".to_owned(),
            what: format!("can't be read: {error}"),
        };
        Self {
            file: file.to_owned(),
            problems: vec![problem],
        }
    }
}

impl fmt::Display for FileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{problem}", self.file)?;
        }
        Ok(())
    }
}

impl Error for FileErrors {}
