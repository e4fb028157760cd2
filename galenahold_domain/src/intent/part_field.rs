//! Flattening of a part of the intent into the fields that are shown to operators.

use std::collections;

use serde::Serialize;

const ABSENT_VALUE: &str = "none";

/// The field with the name of a part, which is shown before the fields and not among them.
const NAME_FIELD: &str = "name";

/// The field that holds a list of named items, whose paths contain their names.
const NAMED_LIST_FIELD: &str = "adapters";

/// A field of a part of the intent, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartField {
    /// The field's path, such as `objective.first_token_ms`.
    pub(crate) path: String,
    /// The field's value, as JSON.
    pub(crate) value: String,
}

/// Returns the fields of a part, ordered by their paths.
pub(crate) fn part_fields<P: Serialize>(part: &P) -> Vec<PartField> {
    let mut fields = Vec::new();
    if let Ok(value) = serde_json::to_value(part) {
        collect_fields(&mut fields, "", &value);
    }
    fields.sort_by(|left, right| left.path.cmp(&right.path));
    fields
}

/// Returns one text for each field that differs, with its old and its new value.
pub(crate) fn field_changes(before: &[PartField], after: &[PartField]) -> Vec<String> {
    let before = values_by_path(before);
    let after = values_by_path(after);
    let paths: collections::BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    paths
        .into_iter()
        .filter_map(|path| {
            let old = before.get(path).copied().unwrap_or(ABSENT_VALUE);
            let new = after.get(path).copied().unwrap_or(ABSENT_VALUE);
            (old != new).then(|| format!("{path} {old} -> {new}"))
        })
        .collect()
}

/// Returns the values of the fields by their paths.
fn values_by_path(fields: &[PartField]) -> collections::BTreeMap<&str, &str> {
    fields
        .iter()
        .map(|field| (field.path.as_str(), field.value.as_str()))
        .collect()
}

/// Adds the fields of a JSON value; objects and the list of named items are flattened.
fn collect_fields(fields: &mut Vec<PartField>, path: &str, value: &serde_json::Value) {
    match value {
        serde_json::Value::Object(object) => {
            let other_fields = object.iter().filter(|(name, _)| *name != NAME_FIELD);
            for (name, inner) in other_fields {
                collect_fields(fields, &join_path(path, name), inner);
            }
        }
        serde_json::Value::Array(items) if path == NAMED_LIST_FIELD => {
            for item in items {
                let name = item[NAME_FIELD].as_str().unwrap_or_default();
                collect_fields(fields, &format!("{path}[{name}]"), item);
            }
        }
        _ => fields.push(PartField {
            path: path.to_owned(),
            value: value.to_string(),
        }),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
