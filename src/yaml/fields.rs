//! Taking the fields out of a section.

use serde::de::DeserializeOwned;

use crate::yaml::Node;
use crate::yaml::Problem;
use crate::yaml::Problems;
use crate::yaml::node::Value;
use crate::yaml::node::find;
use crate::yaml::scalar;

const SHOWN_FIELD_NAMES_MAX: usize = 12;

/// What can be read from a mapping.
pub trait Section: Sized {
    /// Takes the fields. Every one must be asked for, also after one was wrong: that is how all
    /// problems are found, and how unknown keys are told from known ones. None if one that is
    /// needed is missing or wrong.
    fn read(fields: &mut Fields<'_>) -> Option<Self>;
}

/// An element of a list that could be read, with its way.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// Such as `customers[2]`.
    pub path: String,
    /// The element.
    pub value: T,
}

/// The fields of one section that is being read.
#[derive(Debug)]
pub struct Fields<'a> {
    section: &'a Node,
    entries: &'a [(Node, Node)],
    path: &'a str,
    requested: Vec<&'static str>,
    problems: &'a mut Problems,
}

impl<'a> Fields<'a> {
    /// Reads a section and reports the keys that it did not ask for or that
    /// stand there twice.
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

    /// A field that must be there.
    pub fn required<T: DeserializeOwned>(&mut self, name: &'static str) -> Option<T> {
        let node = self.required_node(name)?;
        self.scalar(name, node)
    }

    /// A field that may be left out.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &'static str, default: T) -> Option<T> {
        match self.take(name) {
            Some(node) => self.scalar(name, node),
            None => Some(default),
        }
    }

    /// A section that must be there.
    pub fn section<T: Section>(&mut self, name: &'static str) -> Option<T> {
        let node = self.required_node(name)?;
        let path = self.path_of(name);
        Fields::read_section(node, &path, self.problems)
    }

    /// A section that may be left out.
    pub fn optional_section<T: Section + Default>(&mut self, name: &'static str) -> Option<T> {
        if self.take(name).is_some() {
            self.section(name)
        } else {
            Some(T::default())
        }
    }

    /// A list that must have an element. Those that can't be read are left out and reported.
    pub fn list<T: Section>(&mut self, name: &'static str) -> Vec<Item<T>> {
        match self.required_node(name).map(|node| &node.value) {
            Some(Value::Sequence(items)) if items.is_empty() => self.report(name, "is empty"),
            Some(_) | None => {}
        }
        self.optional_list(name)
    }

    /// A list that may be left out. Elements that can't be read are left out and reported.
    pub fn optional_list<T: Section>(&mut self, name: &'static str) -> Vec<Item<T>> {
        let mut read = Vec::new();
        for (index, node) in self.sequence(name).iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(name));
            if let Some(value) = Fields::read_section(node, &path, self.problems) {
                let path = format!("{name}[{index}]");
                read.push(Item { path, value });
            }
        }
        read
    }

    /// A list of plain values that may be left out.
    pub fn optional_values<T: DeserializeOwned>(&mut self, name: &'static str) -> Vec<T> {
        let mut read = Vec::new();
        for (index, node) in self.sequence(name).iter().enumerate() {
            read.extend(self.scalar(&format!("{name}[{index}]"), node));
        }
        read
    }

    /// Reports what is wrong with a field of this section.
    pub fn report(&mut self, path: &str, what: impl Into<String>) {
        self.problems.push(Problem {
            line: self.section.line_of(path),
            field: self.path_of(path),
            what: what.into(),
        });
    }

    /// Reports a field unless what is wanted of it holds. A field that could not be read has been
    /// reported already.
    pub fn check<T>(
        &mut self,
        path: &str,
        value: Option<&T>,
        is_good: impl FnOnce(&T) -> bool,
        what: &str,
    ) {
        if value.is_some_and(|value| !is_good(value)) {
            self.report(path, what);
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Node> {
        if !self.requested.contains(&name) {
            self.requested.push(name);
        }
        find(self.entries, name)
    }

    fn required_node(&mut self, name: &'static str) -> Option<&'a Node> {
        let node = self.take(name);
        if node.is_none() {
            self.report(name, "is missing");
        }
        node
    }

    fn scalar<T: DeserializeOwned>(&mut self, path: &str, node: &Node) -> Option<T> {
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
        match scalar::read(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(path, invalid_value_message(path, text, &error.to_string()));
                None
            }
        }
    }

    fn sequence(&mut self, name: &'static str) -> &'a [Node] {
        match self.take(name).map(|node| &node.value) {
            Some(Value::Sequence(items)) => items,
            Some(_) => {
                self.report(name, "expected a list");
                &[]
            }
            None => &[],
        }
    }

    fn check_keys(&mut self) {
        for (index, (key, _)) in self.entries.iter().enumerate() {
            let Value::Scalar(name) = &key.value else {
                self.report_key(key.line, "", "a key must be a name".to_owned());
                continue;
            };
            if !self.requested.contains(&name.as_str()) {
                let what = format!("is not known here; known are {}", self.known_field_names());
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

    fn report_key(&mut self, line: u64, name: &str, what: String) {
        let field = self.path_of(name);
        self.problems.push(Problem { line, field, what });
    }

    fn known_field_names(&self) -> String {
        let shown = self.requested.len().min(SHOWN_FIELD_NAMES_MAX);
        self.requested[..shown].join(", ")
    }

    fn path_of(&self, name: &str) -> String {
        match (self.path, name) {
            ("", "") => display_path(""),
            ("", name) => name.to_owned(),
            (path, "") => path.to_owned(),
            (path, name) => format!("{path}.{name}"),
        }
    }
}

fn display_path(path: &str) -> String {
    if path.is_empty() { "(file)" } else { path }.to_owned()
}

/// Names the value unless the type's own message does, and the unit that the field's name calls
/// for. Secrets are not repeated, since these lines end up in logs.
fn invalid_value_message(path: &str, text: &str, error: &str) -> String {
    let is_secret = path.ends_with("secret");
    let is_named = error.contains(&format!("`{text}`"));
    let unit = match path.rsplit_once('_') {
        Some((_, "ms")) => " (milliseconds)",
        Some((_, "tokens")) => " (tokens)",
        _ => "",
    };
    if is_secret || is_named {
        format!("{error}{unit}")
    } else {
        format!("{error}{unit}, got `{text}`")
    }
}
