//! A table of texts in aligned columns.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// A table of texts in aligned columns.
#[derive(Debug)]
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with these column titles.
    pub(super) fn new(titles: Vec<String>) -> Self {
        Self { rows: vec![titles] }
    }

    /// Adds a row; it has as many cells as there are titles.
    pub(super) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<_> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            writeln!(formatter, "{}", cells.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}
