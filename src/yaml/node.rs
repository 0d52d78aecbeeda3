//! A YAML document as a tree that knows its lines.

use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::NonFiniteFloatPolicy;
use serde_saphyr::Spanned;

use crate::yaml::Problem;
use crate::yaml::raw_value::RawValue;

/// Deeper than any settings or manifest, and shallow enough that reading never exhausts the stack.
const DEPTH_MAX: usize = 32;
/// A file that repeats itself by aliases may not grow beyond this.
const NODES_MAX: usize = 100_000;

/// A value with the line it begins at.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub(crate) line: u64,
    pub(crate) value: Value,
}

/// A value as it stands in the file. Scalars stay text, so that `1.10` as a version is not read as
/// a number on the way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Scalar(String),
    Sequence(Vec<Node>),
    Mapping(Vec<(Node, Node)>),
}

impl Node {
    /// Reads a document. An error of its syntax is the only problem that is reported alone.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        let budget = serde_saphyr::budget! {
            max_depth: DEPTH_MAX,
            max_nodes: NODES_MAX,
            flow_nesting_limit: DEPTH_MAX,
        };
        let options = serde_saphyr::options! {
            budget: budget,
            with_snippet: false,
            strict_booleans: true,
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        };
        serde_saphyr::from_str_with_options::<Spanned<RawValue>>(text, options)
            .map(|raw| Self::from_raw(raw, text))
            .map_err(|error| syntax_problem(&error))
    }

    /// Whether it is a mapping with this key.
    pub fn has_key(&self, key: &str) -> bool {
        matches!(&self.value, Value::Mapping(entries) if find(entries, key).is_some())
    }

    /// The line of a field under this node, or of the deepest part of the way to it that exists.
    pub(crate) fn line_of(&self, path: &str) -> u64 {
        let mut node = self;
        for step in path.split(['.', '[', ']']).filter(|step| !step.is_empty()) {
            match node.child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.line
    }

    fn child(&self, step: &str) -> Option<&Self> {
        match &self.value {
            Value::Mapping(entries) => find(entries, step),
            Value::Sequence(items) => items.get(step.parse::<usize>().ok()?),
            Value::Null | Value::Scalar(_) => None,
        }
    }

    fn from_raw(raw: Spanned<RawValue>, text: &str) -> Self {
        let nested = |raw| Self::from_raw(raw, text);
        let line = raw.referenced.line();
        let value = match raw.value {
            RawValue::Null => Value::Null,
            RawValue::Text(scalar) => Value::Scalar(scalar),
            RawValue::Inferred(shown) => {
                let span = raw.defined.span();
                Value::Scalar(slice(text, span).map_or(shown, str::to_owned))
            }
            RawValue::Sequence(items) => Value::Sequence(items.into_iter().map(nested).collect()),
            RawValue::Mapping(entries) => {
                let entry = |(key, value)| (nested(key), nested(value));
                Value::Mapping(entries.into_iter().map(entry).collect())
            }
        };
        Self { line, value }
    }
}

/// The value of a key in a mapping's entries.
pub(crate) fn find<'a>(entries: &'a [(Node, Node)], key: &str) -> Option<&'a Node> {
    let is_key = |node: &Node| matches!(&node.value, Value::Scalar(text) if text == key);
    let entry = entries.iter().find(|(name, _)| is_key(name));
    entry.map(|(_, value)| value)
}

fn slice(text: &str, span: serde_saphyr::Span) -> Option<&str> {
    let start = usize::try_from(span.byte_offset()?).ok()?;
    let len = usize::try_from(span.byte_len()?).ok()?;
    text.get(start..start + len).map(str::trim)
}

fn syntax_problem(error: &serde_saphyr::Error) -> Problem {
    let shown = error.to_string();
    Problem {
        line: error
            .location()
            .map_or(1, |location| location.line().max(1)),
        field: "(syntax)".to_owned(),
        what: shown.lines().next().unwrap_or("not YAML").to_owned(),
    }
}
