//! JSON reports as text for people, whatever their fields are.

use std::fmt::Write;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::Map;
use serde_json::Value;

const INDENT: usize = 2;

/// What names a thing stands before what is said of it.
const NAMES: [&str; 5] = ["host", "domain", "pool", "target", "id"];

/// A report as lines of `key: value`; a list of objects becomes a table.
pub(crate) fn text(report: &Value) -> String {
    let mut out = String::new();
    match report {
        Value::Object(entries) => show_entries(entries, 0, &mut out),
        other => push_line(&mut out, 0, &inline(other)),
    }
    out
}

fn show_entries(entries: &Map<String, Value>, depth: usize, out: &mut String) {
    for (key, value) in names_first(entries) {
        match value {
            Value::Object(nested) if is_section(value) => {
                push_line(out, depth, &format!("{key}:"));
                show_entries(nested, depth + INDENT, out);
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                push_line(out, depth, &format!("{key}:"));
                show_table(items, depth + INDENT, out);
            }
            other => push_line(out, depth, &format!("{key}: {}", inline(other))),
        }
    }
}

fn show_table(items: &[Value], depth: usize, out: &mut String) {
    let rows: Vec<IndexMap<String, String>> = items.iter().map(row).collect();
    let columns: IndexSet<&String> = rows.iter().flat_map(IndexMap::keys).collect();
    let cell = |row: &IndexMap<String, String>, column: &String| -> String {
        row.get(column).map_or_else(|| "-".to_owned(), Clone::clone)
    };
    let width = |column: &&String| -> usize {
        let cells = rows.iter().map(|row| cell(row, column).chars().count());
        cells.max().unwrap_or(0).max(column.chars().count())
    };
    let widths: Vec<usize> = columns.iter().map(width).collect();
    let line = |cells: Vec<String>| -> String {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}  "));
        padded.collect()
    };
    push_line(
        out,
        depth,
        &line(columns.iter().map(ToString::to_string).collect()),
    );
    for row in &rows {
        push_line(
            out,
            depth,
            &line(columns.iter().map(|column| cell(row, column)).collect()),
        );
    }
}

/// A table's row: nested fields become columns such as `load.running`.
fn row(item: &Value) -> IndexMap<String, String> {
    let mut cells = IndexMap::new();
    match item {
        Value::Object(entries) => flatten("", entries, &mut cells),
        other => {
            cells.insert("value".to_owned(), inline(other));
        }
    }
    cells
}

fn flatten(path: &str, entries: &Map<String, Value>, cells: &mut IndexMap<String, String>) {
    for (key, value) in names_first(entries) {
        let column = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        match value {
            Value::Object(nested) if is_section(value) => flatten(&column, nested, cells),
            other => {
                cells.insert(column, inline(other));
            }
        }
    }
}

fn inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            format!("({} entries)", items.len())
        }
        Value::Array(items) => items.iter().map(inline).collect::<Vec<_>>().join(", "),
        Value::Object(entries) if entries.is_empty() => "-".to_owned(),
        other => duration(other).unwrap_or_else(|| other.to_string()),
    }
}

fn names_first(entries: &Map<String, Value>) -> Vec<(&String, &Value)> {
    let mut sorted: Vec<(&String, &Value)> = entries.iter().collect();
    let rank = |key: &str| NAMES.iter().position(|name| *name == key);
    sorted.sort_by_key(|(key, _)| rank(key).unwrap_or(NAMES.len()));
    sorted
}

fn is_section(value: &Value) -> bool {
    let is_empty = value.as_object().is_none_or(Map::is_empty);
    !is_empty && duration(value).is_none()
}

/// A duration as serde writes it.
fn duration(value: &Value) -> Option<String> {
    let entries = value.as_object().filter(|entries| entries.len() == 2)?;
    let secs = entries.get("secs")?.as_u64()?;
    let nanos = entries.get("nanos")?.as_u64()?;
    let text = || {
        format!(
            "{:.3}s",
            secs as f64 + Duration::from_nanos(nanos).as_secs_f64()
        )
    };
    (nanos < 1_000_000_000).then(text)
}

fn push_line(out: &mut String, depth: usize, line: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{:depth$}{}", "", line.trim_end());
}
