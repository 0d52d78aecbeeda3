//! Reading YAML so that all problems of a file are found at once, each with its line and field.
//!
//! A file is read into a tree of [`Node`]s that know their lines. [`Fields`] then takes the fields
//! of a section one after the other and notes every one that is missing, unknown or wrong, in place
//! of stopping at the first as a plain serde derive does.

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

/// Reads a whole file as one section. `file` is the name that its problems are reported under.
pub fn read<T: Section>(text: &str, file: &str) -> Result<T, FileErrors> {
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
