//! A YAML document as a tree with line numbers.

use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::NonFiniteFloatPolicy;
use serde_saphyr::Spanned;

use crate::yaml::Problem;
use crate::yaml::raw_value::RawValue;

/// The maximum nesting depth of a document. Settings and manifests are less deeply nested; deeper
/// documents could overflow the stack.
const DEPTH_MAX: usize = 32;
/// The maximum number of nodes of a document. It bounds the memory of a document whose aliases
/// expand to many copies of a node.
const NODES_MAX: usize = 100_000;

/// A value with the line that it begins on.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub(crate) line: u64,
    pub(crate) value: Value,
}

/// A value as it is written in the file. Scalars are kept as text, so that the version `1.10` is
/// not converted to the number 1.1.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Scalar(String),
    Sequence(Vec<Node>),
    Mapping(Vec<(Node, Node)>),
}

impl Node {
    /// Parses a document. A syntax error is reported alone, since nothing else can be checked then.
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

    /// Whether the node is a mapping with this key.
    pub fn has_key(&self, key: &str) -> bool {
        matches!(&self.value, Value::Mapping(entries) if find_value(entries, key).is_some())
    }

    /// Returns the line of the field at `path` below this node. If the field does not exist, this
    /// is the line of its deepest existing ancestor.
    pub(crate) fn line_of(&self, path: &str) -> u64 {
        let mut node = self;
        for segment in path
            .split(['.', '[', ']'])
            .filter(|segment| !segment.is_empty())
        {
            match node.child(segment) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.line
    }

    /// Returns the value that a mapping has for the key `segment`, or the element that a sequence
    /// has at the index `segment`.
    fn child(&self, segment: &str) -> Option<&Self> {
        match &self.value {
            Value::Mapping(entries) => find_value(entries, segment),
            Value::Sequence(items) => items.get(segment.parse::<usize>().ok()?),
            Value::Null | Value::Scalar(_) => None,
        }
    }

    /// Converts the parser's value to a node. `text` is the whole document, from which the original
    /// text of converted scalars is taken. The line of an alias is that of its use, not that of the
    /// anchor.
    fn from_raw(raw: Spanned<RawValue>, text: &str) -> Self {
        let nested = |raw| Self::from_raw(raw, text);
        let line = raw.referenced.line();
        let value = match raw.value {
            RawValue::Null => Value::Null,
            RawValue::Text(scalar) => Value::Scalar(scalar),
            RawValue::Inferred(formatted) => {
                let span = raw.defined.span();
                Value::Scalar(source_text(text, span).map_or(formatted, str::to_owned))
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

/// Returns the value of a key in the entries of a mapping.
pub(crate) fn find_value<'a>(entries: &'a [(Node, Node)], key: &str) -> Option<&'a Node> {
    let is_key = |node: &Node| matches!(&node.value, Value::Scalar(text) if text == key);
    let entry = entries.iter().find(|(name, _)| is_key(name));
    entry.map(|(_, value)| value)
}

/// Returns the part of `text` that `span` covers, without surrounding whitespace. Returns `None` if
/// the parser does not know the byte range of the span.
fn source_text(text: &str, span: serde_saphyr::Span) -> Option<&str> {
    let start = usize::try_from(span.byte_offset()?).ok()?;
    let len = usize::try_from(span.byte_len()?).ok()?;
    text.get(start..start + len).map(str::trim)
}

fn syntax_problem(error: &serde_saphyr::Error) -> Problem {
    let message = error.to_string();
    Problem {
        line: error
            .location()
            .map_or(1, |location| location.line().max(1)),
        field: "(syntax)".to_owned(),
        what: message.lines().next().unwrap_or("invalid YAML").to_owned(),
    }
}
