//! YAML parsing that reports all problems of a file at once, each with its line and field.
//!
//! A file is parsed into a tree of [`Node`]s with line numbers. [`Fields`] then reads the fields of
//! each section and records every missing, unknown or invalid one. A plain serde derive would stop
//! at the first.

mod fields;
mod file_errors;
mod node;
mod problem;
mod raw_value;
mod scalar;

pub use fields::Fields;
pub use fields::Item;
pub use fields::Section;
pub use file_errors::FileErrors;
pub use node::Node;
pub use problem::Problem;
pub use problem::Problems;

/// Parses the text of a whole file as one section. `file` is the file name that problems are
/// reported with. Returns an error if any problem was reported, even if the section could be read.
pub fn parse<T: Section>(text: &str, file: &str) -> Result<T, FileErrors> {
    let mut problems = Problems::default();
    let value = match Node::parse(text) {
        Ok(root) => Fields::read_section(&root, "", &mut problems),
        Err(problem) => {
            problems.push(problem);
            None
        }
    };
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(FileErrors::new(file, problems)),
    }
}
