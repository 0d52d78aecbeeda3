//! What changes from one manifest to another.

use serde_json::Map;
use serde_json::Value;

use crate::manifest::Manifest;

/// The changes, one a line: `+` what is new, `-` what is gone, `~` what is different. Models,
/// services, customers and priorities are told apart by name, so their order does not matter.
pub fn changes(old: &Manifest, new: &Manifest) -> Result<Vec<String>, serde_json::Error> {
    let mut lines = Vec::new();
    compare(
        "",
        &serde_json::to_value(old)?,
        &serde_json::to_value(new)?,
        &mut lines,
    );
    Ok(lines)
}

fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => compare_entries(path, old, new, lines),
        (Value::Array(old_items), Value::Array(new_items)) => {
            match (by_name(old_items), by_name(new_items)) {
                (Some(old), Some(new)) => compare_entries(path, &old, &new, lines),
                _ if old != new => lines.push(format!("~ {path}: {old} -> {new}")),
                _ => {}
            }
        }
        _ if old != new => lines.push(format!("~ {path}: {} -> {}", bare(old), bare(new))),
        _ => {}
    }
}

fn compare_entries(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    lines: &mut Vec<String>,
) {
    let at = |key: &str| match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    for (key, old_value) in old {
        match new.get(key) {
            Some(new_value) => compare(&at(key), old_value, new_value, lines),
            None => lines.push(format!("- {}", at(key))),
        }
    }
    for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        lines.push(format!("+ {}: {}", at(key), bare(value)));
    }
}

/// A list of things with names as a mapping; none if it is another list.
fn by_name(items: &[Value]) -> Option<Map<String, Value>> {
    let named = |item: &Value| Some((item.get("name")?.as_str()?.to_owned(), item.clone()));
    items.iter().map(named).collect()
}

fn bare(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
