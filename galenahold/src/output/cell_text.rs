//! The text of one cell of a table.

use crate::output;

/// Returns a value as the text of one cell.
///
/// The parts of an object are joined by `/` without those that are empty, the elements of a list by
/// commas.
pub(super) fn cell_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => String::from("-"),
        serde_json::Value::String(text) => {
            output::PrintableText(&text.replace('\n', " ")).to_string()
        }
        serde_json::Value::Array(elements) if elements.is_empty() => String::from("-"),
        serde_json::Value::Array(elements) => joined(elements.iter(), ", "),
        serde_json::Value::Object(fields) => {
            joined(fields.values().filter(|value| !value.is_null()), "/")
        }
        serde_json::Value::Bool(_) | serde_json::Value::Number(_) => value.to_string(),
    }
}

fn joined<'a>(values: impl Iterator<Item = &'a serde_json::Value>, separator: &str) -> String {
    let texts: Vec<_> = values.map(cell_text).collect();
    texts.join(separator)
}
