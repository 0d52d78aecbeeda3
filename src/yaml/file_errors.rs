//! The problems of one file, as they are shown.

use std::error::Error;
use std::fmt;

use crate::yaml::Problem;
use crate::yaml::Problems;

/// All problems of one file; shown one a line as `FILE:LINE: FIELD: what is wrong`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileErrors {
    /// The file's name as it was given.
    pub file: String,
    /// The problems in the order of their lines; never empty.
    pub problems: Vec<Problem>,
}

impl FileErrors {
    /// The problems that were found in a file.
    pub fn new(file: &str, problems: Problems) -> Self {
        Self {
            file: file.to_owned(),
            problems: problems.into_sorted(),
        }
    }

    /// A file that can't be read at all.
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
