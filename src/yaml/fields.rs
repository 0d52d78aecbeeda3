//! Extraction of the fields of a section.

use serde::de::DeserializeOwned;

use crate::yaml::Node;
use crate::yaml::Problem;
use crate::yaml::Problems;
use crate::yaml::node::Value;
use crate::yaml::node::find_value;
use crate::yaml::scalar;

/// The maximum number of field names that the report of an unknown field lists.
const SHOWN_FIELD_NAMES_MAX: usize = 12;

/// A type that can be read from a mapping.
pub trait Section: Sized {
    /// Reads the fields of the section. An implementation must request every field, even after an
    /// earlier one was invalid: this finds all problems and tells unknown keys from known ones.
    /// Returns `None` if a required field other than a list is missing or a value other than an
    /// element of a list can't be parsed. A parsed value that fails a check is only reported: the
    /// section is returned, but [`crate::yaml::parse`] fails if there is any report.
    fn read(fields: &mut Fields<'_>) -> Option<Self>;
}

/// An element of a list with its path in the section.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The path of the element, such as `customers[2]`.
    pub path: String,
    /// The value that was read.
    pub value: T,
}

/// The fields of the section that is being read. The methods that read a field also note the field
/// as known; keys that no method asked for are reported as unknown.
#[derive(Debug)]
pub struct Fields<'a> {
    section: &'a Node,
    entries: &'a [(Node, Node)],
    path: &'a str,
    requested: Vec<&'static str>,
    problems: &'a mut Problems,
}

impl<'a> Fields<'a> {
    /// Reads a section and reports its unknown and duplicate keys. A key is unknown if the type did
    /// not request a field of this name. Returns `None` if the section is not a mapping or
    /// [`Section::read`] returns `None`.
    pub fn read_section<T: Section>(
        section: &'a Node,
        path: &'a str,
        problems: &'a mut Problems,
    ) -> Option<T> {
        let Value::Mapping(entries) = &section.value else {
            problems.push(Problem {
                line: section.line,
                field: display_path(path),
                what: "expected a mapping of keys to values".to_owned(),
            });
            return None;
        };
        let mut fields = Self {
            section,
            entries,
            path,
            requested: Vec::new(),
            problems,
        };
        let value = T::read(&mut fields);
        fields.check_keys();
        value
    }

    /// Reads a required field. If the field is missing or invalid, this reports it and returns
    /// `None`.
    pub fn required<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        let node = self.required_node(name)?;
        self.parse_scalar(name, node)
    }

    /// Reads a field that falls back to `default` if it is absent. If the value is invalid, this
    /// reports the field and returns `None`.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &'static str, default: T) -> Option<T> {
        match self.request(name) {
            Some(node) => self.parse_scalar(name, node),
            None => Some(default),
        }
    }

    /// Reads a required section. If the section is missing or invalid, this reports it and returns
    /// `None`.
    pub fn section<T: Section>(&mut self, name: &'static str) -> Option<T> {
        let node = self.required_node(name)?;
        let path = self.path_of(name);
        Fields::read_section(node, &path, self.problems)
    }

    /// Reads a section that falls back to its default if it is absent. If the section is invalid,
    /// this reports it and returns `None`.
    pub fn optional_section<T: Section + Default>(&mut self, name: &'static str) -> Option<T> {
        if self.request(name).is_some() {
            self.section(name)
        } else {
            Some(T::default())
        }
    }

    /// Reads a required list and reports it if it is missing or empty. Invalid elements are
    /// reported and left out.
    pub fn list<T: Section>(&mut self, name: &'static str) -> Vec<Item<T>> {
        match self.required_node(name).map(|node| &node.value) {
            Some(Value::Sequence(items)) if items.is_empty() => self.report(name, "is empty"),
            Some(_) | None => {}
        }
        self.optional_list(name)
    }

    /// Reads a list that may be absent. Invalid elements are reported and left out.
    pub fn optional_list<T: Section>(&mut self, name: &'static str) -> Vec<Item<T>> {
        let mut values = Vec::new();
        for (index, node) in self.list_elements(name).iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(name));
            if let Some(value) = Fields::read_section(node, &path, self.problems) {
                let path = format!("{name}[{index}]");
                values.push(Item { path, value });
            }
        }
        values
    }

    /// Reads a list of scalars that may be absent. Invalid elements are reported and left out.
    pub fn optional_values<T: DeserializeOwned>(&mut self, name: &'static str) -> Vec<T> {
        let mut values = Vec::new();
        for (index, node) in self.list_elements(name).iter().enumerate() {
            values.extend(self.parse_scalar(&format!("{name}[{index}]"), node));
        }
        values
    }

    /// Reports a problem with the field at `path` in this section, which makes the whole file
    /// invalid. The problem has the line of the field, or that of the nearest enclosing value if
    /// the field is absent.
    pub fn report(&mut self, path: &str, what: impl Into<String>) {
        self.problems.push(Problem {
            line: self.section.line_of(path),
            field: self.path_of(path),
            what: what.into(),
        });
    }

    /// Reports the problem `what` for the field at `path` unless its value passes `is_valid`. A
    /// value of `None` is skipped, since it was reported when the field was read.
    pub fn check<T>(
        &mut self,
        path: &str,
        value: Option<&T>,
        is_valid: impl FnOnce(&T) -> bool,
        what: &str,
    ) {
        if value.is_some_and(|value| !is_valid(value)) {
            self.report(path, what);
        }
    }

    /// Returns the value of a field and notes the field as known.
    fn request(&mut self, name: &'static str) -> Option<&'a Node> {
        if !self.requested.contains(&name) {
            self.requested.push(name);
        }
        find_value(self.entries, name)
    }

    /// Returns the value of a required field, or reports the field as missing and returns `None`.
    fn required_node(&mut self, name: &'static str) -> Option<&'a Node> {
        let node = self.request(name);
        if node.is_none() {
            self.report(name, "is missing");
        }
        node
    }

    /// Parses the scalar `node`, which is the value of the field at `path`. If it is no scalar or
    /// can't be parsed, this reports the field and returns `None`.
    fn parse_scalar<T: DeserializeOwned>(&mut self, path: &str, node: &Node) -> Option<T> {
        let text = match &node.value {
            Value::Scalar(text) => text,
            Value::Null => {
                self.report(path, "has no value");
                return None;
            }
            Value::Sequence(_) | Value::Mapping(_) => {
                self.report(path, "expected one value, not a list or mapping");
                return None;
            }
        };
        match scalar::parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(path, invalid_value_message(path, text, &error.to_string()));
                None
            }
        }
    }

    /// Returns the elements of a list, which are none if the field is absent. If the value is not a
    /// list, this reports the field and returns no elements.
    fn list_elements(&mut self, name: &'static str) -> &'a [Node] {
        match self.request(name).map(|node| &node.value) {
            Some(Value::Sequence(items)) => items,
            Some(_) => {
                self.report(name, "expected a list");
                &[]
            }
            None => &[],
        }
    }

    /// Reports unknown and duplicate keys.
    fn check_keys(&mut self) {
        for (index, (key, _)) in self.entries.iter().enumerate() {
            let Value::Scalar(name) = &key.value else {
                self.report_key(key.line, "", "a key must be a name".to_owned());
                continue;
            };
            if !self.requested.contains(&name.as_str()) {
                let what = format!(
                    "is not a known field; known fields are {}",
                    self.shown_field_names()
                );
                self.report_key(key.line, name, what);
            }
            let earlier = self.entries[..index].iter();
            let earlier = earlier
                .map(|(key, _)| key)
                .find(|other| other.value == key.value);
            if let Some(earlier) = earlier {
                let what = format!("is given twice, first in line {}", earlier.line);
                self.report_key(key.line, name, what);
            }
        }
    }

    /// Reports a problem with the key `name` in the given line. An empty name stands for the
    /// section.
    fn report_key(&mut self, line: u64, name: &str, what: String) {
        let field = self.path_of(name);
        self.problems.push(Problem { line, field, what });
    }

    /// Returns the names of the known fields, at most [`SHOWN_FIELD_NAMES_MAX`] of them.
    fn shown_field_names(&self) -> String {
        let shown = self.requested.len().min(SHOWN_FIELD_NAMES_MAX);
        self.requested[..shown].join(", ")
    }

    /// Returns the path in the file of the field `name`. An empty name stands for the section.
    fn path_of(&self, name: &str) -> String {
        match (self.path, name) {
            ("", "") => display_path(""),
            ("", name) => name.to_owned(),
            (path, "") => path.to_owned(),
            (path, name) => format!("{path}.{name}"),
        }
    }
}

/// Returns the path that is shown for a section: `(file)` for the whole file, whose path is empty.
fn display_path(path: &str) -> String {
    if path.is_empty() { "(file)" } else { path }.to_owned()
}

/// Builds the message for an invalid value. It adds the unit that the suffix of the field name
/// stands for, and the value unless `error` has it already. Secrets are not printed, since these
/// messages end up in logs.
fn invalid_value_message(path: &str, text: &str, error: &str) -> String {
    let is_secret = path.ends_with("secret");
    let is_in_error = error.contains(&format!("`{text}`"));
    let unit = match path.rsplit_once('_') {
        Some((_, "ms")) => " (milliseconds)",
        Some((_, "tokens")) => " (tokens)",
        _ => "",
    };
    if is_secret || is_in_error {
        format!("{error}{unit}")
    } else {
        format!("{error}{unit}, got `{text}`")
    }
}
