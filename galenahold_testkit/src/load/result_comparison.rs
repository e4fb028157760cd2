//! Two results side by side.

use std::fmt;

use super::{LoadResult, RouteKind, RouteResult};

/// Prints one or two results as a table with one block for each route and team.
#[derive(Debug)]
pub struct ResultComparison<'a> {
    first: &'a LoadResult,
    second: Option<&'a LoadResult>,
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
    /// Makes the comparison of two results.
    #[must_use]
    pub fn new(first: &'a LoadResult, second: &'a LoadResult) -> Self {
        Self {
            first,
            second: Some(second),
        }
    }

    /// Makes the table of one result.
    #[must_use]
    pub fn single(result: &'a LoadResult) -> Self {
        Self {
            first: result,
            second: None,
        }
    }

    fn write_block(&self, formatter: &mut fmt::Formatter<'_>, first: &RouteResult) -> fmt::Result {
        let Some(route) = first.route else {
            return Ok(());
        };
        self.write_title(formatter, route, &first.team)?;
        let second = self.second.and_then(|all| all.route(route, &first.team));
        for row in ROWS {
            let before = (row.value)(first);
            let name = row.name;
            write!(formatter, "  {name:<26} {before:>14}")?;
            if let Some(second) = second {
                let after = (row.value)(second);
                let ratio = ratio(before, after);
                write!(formatter, " {after:>14} {ratio:>9}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }

    fn write_title(
        &self,
        formatter: &mut fmt::Formatter<'_>,
        route: RouteKind,
        team: &str,
    ) -> fmt::Result {
        let route = match route {
            RouteKind::Through => "through",
            RouteKind::Straight => "straight",
        };
        let team = if team.is_empty() { "all teams" } else { team };
        let title = format!("{route}, {team}");
        write!(formatter, "{title:<28} {:>14}", self.first.label)?;
        if let Some(second) = self.second {
            write!(formatter, " {:>14} {:>9}", second.label, "ratio")?;
        }
        writeln!(formatter)
    }

    /// Writes what the way through instances adds, where a result has both routes.
    fn write_added(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for result in [Some(self.first), self.second].into_iter().flatten() {
            let label = &result.label;
            if let Some(added) = result.added_latency() {
                writeln!(
                    formatter,
                    "added by instances to the first token, {label}: p50 {} us, p90 {} us, p99 {} us",
                    added.p50_us, added.p90_us, added.p99_us
                )?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for ResultComparison<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for first in &self.first.routes {
            self.write_block(formatter, first)?;
        }
        self.write_added(formatter)
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
