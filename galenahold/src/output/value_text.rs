//! A JSON document for people.

use std::collections;
use std::fmt;

use crate::output;

/// Fields that come first in a table, in this order.
const LEADING_FIELDS: [&str; 3] = ["name", "id", "key"];

/// A JSON document for people: fields as lines, inner objects as sections, lists of objects as tables.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ValueText<'a>(pub(crate) &'a serde_json::Value);

impl fmt::Display for ValueText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            serde_json::Value::Object(fields) => write_object(formatter, fields),
            serde_json::Value::Array(elements) => write_list(formatter, elements),
            other => writeln!(formatter, "{}", output::cell_text(other)),
        }
    }
}

fn write_object(
    formatter: &mut fmt::Formatter<'_>,
    fields: &serde_json::Map<String, serde_json::Value>,
) -> fmt::Result {
    let lines = || fields.iter().filter(|(_, value)| !is_section(value));
    let widths = lines().map(|(name, _)| name.chars().count());
    let width = widths.max().unwrap_or(0);
    for (name, value) in lines() {
        let name = output::PrintableText(name).to_string();
        writeln!(formatter, "{name:<width$}  {}", output::cell_text(value))?;
    }
    for (name, value) in fields.iter().filter(|(_, value)| is_section(value)) {
        let name = output::PrintableText(name);
        writeln!(
            formatter,
            "\n{name}:\n{}",
            ValueText(value).to_string().trim_end()
        )?;
    }
    Ok(())
}

/// Tells whether a field takes lines of its own.
fn is_section(value: &serde_json::Value) -> bool {
    match value {
        serde_json::Value::Object(_) => true,
        serde_json::Value::Array(elements) => elements.iter().any(serde_json::Value::is_object),
        _ => false,
    }
}

fn write_list(formatter: &mut fmt::Formatter<'_>, elements: &[serde_json::Value]) -> fmt::Result {
    let objects = elements.iter().filter_map(serde_json::Value::as_object);
    let rows: Vec<_> = objects.map(output::FlatRow::of).collect();
    if rows.is_empty() {
        let none = if elements.is_empty() { "none\n" } else { "" };
        formatter.write_str(none)?;
        return elements
            .iter()
            .try_for_each(|element| writeln!(formatter, "{}", output::cell_text(element)));
    }
    let columns = columns_of(&rows);
    let titles = columns
        .iter()
        .map(|name| output::PrintableText(name).to_string());
    let mut table = output::TextTable::new(titles.collect());
    for row in &rows {
        table.push(columns.iter().map(|name| row.text(name)).collect());
    }
    write!(formatter, "{table}")
}

/// Returns the names of all rows' cells, those that name the row first.
fn columns_of<'a>(rows: &[output::FlatRow<'a>]) -> Vec<&'a str> {
    let names: collections::BTreeSet<&str> = rows.iter().flat_map(output::FlatRow::names).collect();
    let leading = LEADING_FIELDS
        .into_iter()
        .filter(|name| names.contains(name));
    let others = names
        .iter()
        .copied()
        .filter(|name| !LEADING_FIELDS.contains(name));
    leading.chain(others).collect()
}
