//! A JSON document for people.

use std::collections;
use std::fmt;

use serde_json::Value;

use crate::output;

/// Fields that come first in a table, in this order.
const LEADING_FIELDS: [&str; 3] = ["name", "id", "key"];

/// A JSON document for people: fields as lines, lists of objects as tables.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ValueText<'a>(pub(crate) &'a Value);

impl fmt::Display for ValueText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_value(formatter, self.0)
    }
}

fn write_value(formatter: &mut fmt::Formatter<'_>, value: &Value) -> fmt::Result {
    match value {
        Value::Object(fields) => write_object(formatter, fields),
        Value::Array(elements) => write_list(formatter, elements),
        _ => writeln!(formatter, "{}", cell(value)),
    }
}

fn write_object(
    formatter: &mut fmt::Formatter<'_>,
    fields: &serde_json::Map<String, Value>,
) -> fmt::Result {
    let nested =
        |value: &Value| matches!(value, Value::Array(list) if list.iter().any(Value::is_object));
    let width = fields
        .iter()
        .filter(|(_, value)| !nested(value))
        .map(|(name, _)| name.chars().count())
        .max()
        .unwrap_or(0);
    for (name, value) in fields.iter().filter(|(_, value)| !nested(value)) {
        let name = output::PrintableText(name).to_string();
        writeln!(formatter, "{name:<width$}  {}", cell(value))?;
    }
    for (name, value) in fields.iter().filter(|(_, value)| nested(value)) {
        writeln!(formatter, "\n{}:", output::PrintableText(name))?;
        write_value(formatter, value)?;
    }
    Ok(())
}

fn write_list(formatter: &mut fmt::Formatter<'_>, elements: &[Value]) -> fmt::Result {
    if elements.is_empty() {
        return writeln!(formatter, "none");
    }
    let columns = columns_of(elements);
    if columns.is_empty() {
        return elements
            .iter()
            .try_for_each(|element| writeln!(formatter, "{}", cell(element)));
    }
    let titles = columns
        .iter()
        .map(|name| output::PrintableText(name).to_string())
        .collect();
    let mut table = output::TextTable::new(titles);
    for element in elements {
        let cells = columns
            .iter()
            .map(|column| element.get(column).map(cell).unwrap_or_default());
        table.push(cells.collect());
    }
    write!(formatter, "{table}")
}

/// Returns the fields of all elements, those that name the element first.
fn columns_of(elements: &[Value]) -> Vec<&str> {
    let names: collections::BTreeSet<&str> = elements
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|fields| fields.keys().map(String::as_str))
        .collect();
    let leading = LEADING_FIELDS
        .into_iter()
        .filter(|name| names.contains(name));
    let others = names
        .iter()
        .copied()
        .filter(|name| !LEADING_FIELDS.contains(name));
    leading.chain(others).collect()
}

/// Returns a value as the text of one cell.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::from("-"),
        Value::String(text) => output::PrintableText(&text.replace('\n', " ")).to_string(),
        Value::Array(elements) if elements.is_empty() => String::from("-"),
        Value::Array(elements) if elements.iter().all(|element| !element.is_object()) => {
            let cells: Vec<_> = elements.iter().map(cell).collect();
            cells.join(", ")
        }
        _ => output::PrintableText(&value.to_string()).to_string(),
    }
}
