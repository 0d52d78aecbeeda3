//! What is wrong with a file.

use std::borrow::Cow;
use std::fmt;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, from 1 on.
    pub line: u64,
    /// The field with the way to it, such as `customers[2].rate`.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

/// All that is wrong with a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Adds one.
    pub fn push(&mut self, problem: Problem) {
        self.0.push(problem);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All of them in the order of their lines.
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

/// A key or value that holds a line break would break the report's lines.
fn escape_control_chars(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return Cow::Borrowed(text);
    }
    let shown = |c: char| {
        if c.is_control() {
            c.escape_default().to_string()
        } else {
            c.into()
        }
    };
    text.chars().map(shown).collect()
}
