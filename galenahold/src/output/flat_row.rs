//! An object as one row of a table.

use std::collections;

use crate::output;

/// An object as one row of a table: the fields of inner objects stand beside its own.
#[derive(Debug, Default)]
pub(super) struct FlatRow<'a> {
    cells: collections::BTreeMap<&'a str, &'a serde_json::Value>,
}

impl<'a> FlatRow<'a> {
    /// Takes the fields of an object; of two fields of one name the outer one stays.
    pub(super) fn of(object: &'a serde_json::Map<String, serde_json::Value>) -> Self {
        let mut row = Self::default();
        row.add(object);
        row
    }

    /// Returns the names of the cells.
    pub(super) fn names(&self) -> impl Iterator<Item = &'a str> {
        self.cells.keys().copied()
    }

    /// Returns the text of a cell; an empty one where the row lacks it.
    pub(super) fn text(&self, name: &str) -> String {
        let cell = self.cells.get(name).copied();
        cell.map(output::cell_text).unwrap_or_default()
    }

    fn add(&mut self, object: &'a serde_json::Map<String, serde_json::Value>) {
        let inner = |value: &serde_json::Value| value.is_object();
        for (name, value) in object.iter().filter(|(_, value)| !inner(value)) {
            self.cells.entry(name).or_insert(value);
        }
        for object in object.values().filter_map(serde_json::Value::as_object) {
            self.add(object);
        }
    }
}
