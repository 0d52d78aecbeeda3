//! The differences between two manifests.

use serde_json::Map;
use serde_json::Value;

use crate::manifest::Manifest;

/// Lists the differences between two manifests, one per line: `+` for an added entry, `-` for a
/// removed one, `~` for a changed one. Models, services, customers and priorities are matched by
/// name, so their order does not matter.
pub fn diff_manifests(old: &Manifest, new: &Manifest) -> Result<Vec<String>, serde_json::Error> {
    let mut lines = Vec::new();
    diff_values(
        "",
        &serde_json::to_value(old)?,
        &serde_json::to_value(new)?,
        &mut lines,
    );
    Ok(lines)
}

/// Appends the differences between two values at `path`. Lists whose items all have names are
/// compared by name, other lists as a whole.
fn diff_values(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => diff_entries(path, old, new, lines),
        (Value::Array(old_items), Value::Array(new_items)) => {
            match (index_by_name(old_items), index_by_name(new_items)) {
                (Some(old), Some(new)) => diff_entries(path, &old, &new, lines),
                _ if old != new => lines.push(format!("~ {path}: {old} -> {new}")),
                _ => {}
            }
        }
        _ if old != new => lines.push(format!("~ {path}: {} -> {}", unquoted(old), unquoted(new))),
        _ => {}
    }
}

/// Appends the differences between the entries of two objects at `path`.
fn diff_entries(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    lines: &mut Vec<String>,
) {
    let path_to = |key: &str| match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    for (key, old_value) in old {
        match new.get(key) {
            Some(new_value) => diff_values(&path_to(key), old_value, new_value, lines),
            None => lines.push(format!("- {}", path_to(key))),
        }
    }
    for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        lines.push(format!("+ {}: {}", path_to(key), unquoted(value)));
    }
}

/// Converts a list of objects to a map by the field `name`; none if an item has no such field.
fn index_by_name(items: &[Value]) -> Option<Map<String, Value>> {
    let named = |item: &Value| Some((item.get("name")?.as_str()?.to_owned(), item.clone()));
    items.iter().map(named).collect()
}

/// A string without quotes, any other value as JSON.
fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
