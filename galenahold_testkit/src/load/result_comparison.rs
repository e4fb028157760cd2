//! Two results side by side.

use std::fmt;

use super::{LoadResult, RouteKind, RouteResult};

/// Prints two results as a table with one block for each route and team.
#[derive(Debug)]
pub struct ResultComparison<'a> {
    first: &'a LoadResult,
    second: &'a LoadResult,
}

/// One line of a block.
struct TableRow {
    name: &'static str,
    value: fn(&RouteResult) -> u64,
}

/// The lines of a block.
const ROWS: &[TableRow] = &[
    row("sent", |result| result.sent),
    row("answered", |result| result.answered),
    row("wrong", |result| result.wrong),
    row("refused", |result| result.refused),
    row("refused inside rate", |result| result.refused_inside_rate),
    row("failed streams", |result| result.failed_streams),
    row("broken", |result| result.broken),
    row("timed out", |result| result.timed_out),
    row("tokens", |result| result.tokens),
    row("first token p50 us", |result| result.first_token.p50_us),
    row("first token p99 us", |result| result.first_token.p99_us),
    row("first token p99.9 us", |result| result.first_token.p999_us),
    row("after idle p99 us", |result| {
        result.first_token_after_idle.p99_us
    }),
    row("between tokens p99 us", |result| {
        result.between_tokens.p99_us
    }),
    row("total p50 us", |result| result.total.p50_us),
    row("total p99 us", |result| result.total.p99_us),
];

const fn row(name: &'static str, value: fn(&RouteResult) -> u64) -> TableRow {
    TableRow { name, value }
}

impl<'a> ResultComparison<'a> {
    /// Makes the comparison.
    #[must_use]
    pub fn new(first: &'a LoadResult, second: &'a LoadResult) -> Self {
        Self { first, second }
    }

    fn write_block(&self, formatter: &mut fmt::Formatter<'_>, first: &RouteResult) -> fmt::Result {
        let Some(route) = first.route else {
            return Ok(());
        };
        let second = self.second.route(route, &first.team);
        let empty = RouteResult::default();
        let second = second.unwrap_or(&empty);
        let route = match route {
            RouteKind::Through => "through",
            RouteKind::Straight => "straight",
        };
        let team = if first.team.is_empty() {
            "all teams"
        } else {
            &first.team
        };
        let title = format!("{route}, {team}");
        let (left, right) = (&self.first.label, &self.second.label);
        writeln!(
            formatter,
            "{title:<28} {left:>14} {right:>14} {:>9}",
            "ratio"
        )?;
        for row in ROWS {
            let (before, after) = ((row.value)(first), (row.value)(second));
            let ratio = ratio(before, after);
            let name = row.name;
            writeln!(
                formatter,
                "  {name:<26} {before:>14} {after:>14} {ratio:>9}"
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for ResultComparison<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for first in &self.first.routes {
            self.write_block(formatter, first)?;
        }
        Ok(())
    }
}

/// Returns how many times `before` the value `after` is.
fn ratio(before: u64, after: u64) -> String {
    if before == 0 {
        return "-".to_owned();
    }
    let float = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    format!("{:.2}", float(after) / float(before))
}
