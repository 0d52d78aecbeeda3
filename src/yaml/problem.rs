//! The problems that the validation of a file finds.

use std::borrow::Cow;
use std::fmt;

/// A problem of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line number, starting at 1.
    pub line: u64,
    /// The path of the field, such as `customers[2].rate`.
    pub field: String,
    /// The description of the problem.
    pub what: String,
}

/// The problems of a file, in the order in which they were found. [`Self::into_sorted`] orders them
/// by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn push(&mut self, problem: Problem) {
        self.0.push(problem);
    }

    /// Whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the problems, ordered by line.
    pub fn into_sorted(mut self) -> Vec<Problem> {
        self.0.sort();
        self.0
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = escape_control_chars(&self.field);
        write!(
            f,
            "{}: {field}: {}",
            self.line,
            escape_control_chars(&self.what)
        )
    }
}

/// Escapes control characters. A line break in a key or value would otherwise split one problem
/// into several lines.
fn escape_control_chars(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return Cow::Borrowed(text);
    }
    let escape = |c: char| {
        if c.is_control() {
            c.escape_default().to_string()
        } else {
            c.into()
        }
    };
    text.chars().map(escape).collect()
}
