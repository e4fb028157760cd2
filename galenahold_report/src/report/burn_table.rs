//! Text rendering of the burn report.

use std::fmt;

use crate::report;

const COLUMN_GAP: &str = "  ";
const TITLES: [&str; 9] = [
    "service",
    "team",
    "objective",
    "5 min",
    "1 h",
    "6 h",
    "3 d",
    "budget left",
    "status",
];
/// The first column of numbers, which are right-aligned.
const FIRST_NUMBER_COLUMN: usize = 3;
/// The column after the last column of numbers.
const END_OF_NUMBER_COLUMNS: usize = 8;

/// Renders the report as a text table.
#[derive(Debug, Clone, Copy)]
pub(super) struct BurnTable<'a> {
    report: &'a report::BurnReport,
}

impl<'a> BurnTable<'a> {
    pub(super) fn new(report: &'a report::BurnReport) -> Self {
        Self { report }
    }

    fn cells(self) -> Vec<[String; TITLES.len()]> {
        let rows = self.report.rows.iter();
        let bodies = rows.flat_map(|row| {
            let objectives = row.objectives.iter();
            objectives.map(move |objective| objective_cells(row, objective))
        });
        std::iter::once(TITLES.map(String::from))
            .chain(bodies)
            .collect()
    }
}

impl fmt::Display for BurnTable<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Service-level burn. {}", self.report.coverage())?;
        writeln!(
            formatter,
            "A burn rate of 1 uses up the error budget just in its period.\n"
        )?;
        if self.report.rows.is_empty() {
            return writeln!(formatter, "No requests were counted.");
        }
        write_aligned(formatter, &self.cells())?;
        writeln!(formatter, "\nLast hour (refusals: last 3 days):")?;
        for row in &self.report.rows {
            writeln!(
                formatter,
                "{} / {}: {} requests, wait {:.1} ms mean, {:.1} ms longest, {} refused inside the rate",
                row.service,
                row.team,
                row.requests,
                row.wait_mean_ms,
                row.wait_max_ms,
                row.refused_inside_rate
            )?;
        }
        Ok(())
    }
}

fn objective_cells(
    row: &report::BurnRow,
    objective: &report::ObjectiveBurn,
) -> [String; TITLES.len()] {
    let rate = |index: usize| {
        let burn = objective.windows.get(index);
        burn.map_or_else(String::new, rate_text)
    };
    [
        row.service.to_string(),
        row.team.to_string(),
        objective.objective.to_string(),
        rate(0),
        rate(1),
        rate(2),
        rate(3),
        percent_text(objective.budget_left),
        objective.status.to_string(),
    ]
}

/// Formats a burn rate; a dash stands for a window without events.
pub(super) fn rate_text(burn: &report::WindowBurn) -> String {
    if burn.events == 0 {
        String::from("-")
    } else {
        format!("{:.2}", burn.burn_rate)
    }
}

/// Formats a fraction as a percentage.
pub(super) fn percent_text(share: f64) -> String {
    const PER_CENT: f64 = 100.0;
    format!("{:.1} %", share * PER_CENT)
}

fn write_aligned(
    formatter: &mut fmt::Formatter<'_>,
    rows: &[[String; TITLES.len()]],
) -> fmt::Result {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..TITLES.len()).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).enumerate().map(|(column, cell)| {
            let (text, width) = cell;
            if (FIRST_NUMBER_COLUMN..END_OF_NUMBER_COLUMNS).contains(&column) {
                format!("{text:>width$}")
            } else {
                format!("{text:<width$}")
            }
        });
        let line = cells.collect::<Vec<_>>().join(COLUMN_GAP);
        writeln!(formatter, "{}", line.trim_end())?;
    }
    Ok(())
}
