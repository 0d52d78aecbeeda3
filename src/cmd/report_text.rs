//! Formats JSON reports with any fields as text.

use std::fmt::Write;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::Map;
use serde_json::Value;

/// The additional indentation of a nested section or table, in columns.
const INDENT: usize = 2;

/// Keys that identify an object. They are shown before its other keys.
const IDENTIFYING_KEYS: [&str; 5] = ["host", "domain", "pool", "target", "id"];

/// Formats a report as lines of `key: value`. Objects become indented sections, and lists of
/// objects become tables.
pub(crate) fn format_report(report: &Value) -> String {
    let mut out = String::new();
    match report {
        Value::Object(entries) => push_entries(entries, 0, &mut out),
        other => push_line(&mut out, 0, &format_inline(other)),
    }
    out
}

/// Appends the entries of an object to `out`, indented by `indent` columns.
fn push_entries(entries: &Map<String, Value>, indent: usize, out: &mut String) {
    for (key, value) in identifying_keys_first(entries) {
        match value {
            Value::Object(nested) if is_section(value) => {
                push_line(out, indent, &format!("{key}:"));
                push_entries(nested, indent + INDENT, out);
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                push_line(out, indent, &format!("{key}:"));
                push_table(items, indent + INDENT, out);
            }
            other => push_line(out, indent, &format!("{key}: {}", format_inline(other))),
        }
    }
}

/// Appends a table with a row for each item to `out`, indented by `indent` columns. A cell without
/// a value is shown as a dash.
fn push_table(items: &[Value], indent: usize, out: &mut String) {
    let rows: Vec<IndexMap<String, String>> = items.iter().map(table_row).collect();
    let columns: IndexSet<&String> = rows.iter().flat_map(IndexMap::keys).collect();
    let cell = |row: &IndexMap<String, String>, column: &String| -> String {
        row.get(column).map_or_else(|| "-".to_owned(), Clone::clone)
    };
    let width = |column: &&String| -> usize {
        let cells = rows.iter().map(|row| cell(row, column).chars().count());
        cells.max().unwrap_or(0).max(column.chars().count())
    };
    let widths: Vec<usize> = columns.iter().map(width).collect();
    let format_line = |cells: Vec<String>| -> String {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}  "));
        padded.collect()
    };
    push_line(
        out,
        indent,
        &format_line(columns.iter().map(ToString::to_string).collect()),
    );
    for row in &rows {
        push_line(
            out,
            indent,
            &format_line(columns.iter().map(|column| cell(row, column)).collect()),
        );
    }
}

/// A row of a table by column. Nested fields become columns such as `load.running`.
fn table_row(item: &Value) -> IndexMap<String, String> {
    let mut cells = IndexMap::new();
    match item {
        Value::Object(entries) => flatten("", entries, &mut cells),
        other => {
            cells.insert("value".to_owned(), format_inline(other));
        }
    }
    cells
}

/// Adds the entries of an object to the cells of a row. Columns are named by the path to the value.
fn flatten(path: &str, entries: &Map<String, Value>, cells: &mut IndexMap<String, String>) {
    for (key, value) in identifying_keys_first(entries) {
        let column = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        match value {
            Value::Object(nested) if is_section(value) => flatten(&column, nested, cells),
            other => {
                cells.insert(column, format_inline(other));
            }
        }
    }
}

/// Formats a value on one line: a null or empty value as a dash, a list of objects as the number of
/// its items, any other list separated by commas, and a duration in seconds.
fn format_inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            format!("({} entries)", items.len())
        }
        Value::Array(items) => items
            .iter()
            .map(format_inline)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(entries) if entries.is_empty() => "-".to_owned(),
        other => format_duration(other).unwrap_or_else(|| other.to_string()),
    }
}

/// The entries of an object, those with identifying keys first.
fn identifying_keys_first(entries: &Map<String, Value>) -> Vec<(&String, &Value)> {
    let mut sorted: Vec<(&String, &Value)> = entries.iter().collect();
    let rank = |key: &str| IDENTIFYING_KEYS.iter().position(|name| *name == key);
    sorted.sort_by_key(|(key, _)| rank(key).unwrap_or(IDENTIFYING_KEYS.len()));
    sorted
}

/// Whether the entries of a value are shown separately: the value is an object that is neither
/// empty nor a duration.
fn is_section(value: &Value) -> bool {
    let is_empty = value.as_object().is_none_or(Map::is_empty);
    !is_empty && format_duration(value).is_none()
}

/// Formats a duration, which serde writes as an object of `secs` and `nanos`, in seconds; none if
/// the value is not a duration.
fn format_duration(value: &Value) -> Option<String> {
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

/// Appends a line to `out`, indented by `indent` columns and without trailing spaces.
fn push_line(out: &mut String, indent: usize, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{:indent$}{}", "", line.trim_end());
}
