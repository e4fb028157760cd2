//! HTML rendering of the burn report.

use std::collections;

use galenahold_domain::name;

use crate::count;
use crate::error;
use crate::plot;
use crate::report;
use crate::report::burn_table;
use crate::snapshot;

const SECONDS_PER_MINUTE: f64 = 60.0;
const PLOT_WIDTH_PX: u32 = 580;
const PLOT_HEIGHT_PX: u32 = 300;

const STYLE: &str = "\
body{font:15px/1.45 system-ui,sans-serif;color:#1b1f24;margin:2rem auto;max-width:75rem;padding:0 1rem}\
table{border-collapse:collapse;width:100%;margin:1rem 0}\
th,td{padding:.3rem .6rem;border-bottom:1px solid #d5d9de;text-align:left}\
th{background:#f2f4f6}\
td.number,th.number{text-align:right;font-variant-numeric:tabular-nums}\
.fast_burn{background:#f9d6d2;font-weight:600}\
.slow_burn{background:#fdeec7;font-weight:600}\
.plots{display:flex;flex-wrap:wrap;gap:1rem}\
figure{margin:0}svg{max-width:100%;height:auto}";

/// Renders the report as one HTML page with embedded style and plots.
#[derive(Debug, Clone, Copy)]
pub(super) struct BurnPage<'a> {
    report: &'a report::BurnReport,
}

impl<'a> BurnPage<'a> {
    pub(super) fn new(report: &'a report::BurnReport) -> Self {
        Self { report }
    }

    pub(super) fn to_html(self) -> Result<String, error::ReportError> {
        let plots = self.plots()?;
        Ok(format!(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
             <title>Service-level burn</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
             <h1>Service-level burn</h1>\n<p>{} A burn rate of 1 uses up the error budget \
             just in its period. Fast burn: at least {} over 1 h and 5 min, or {} over 6 h and 1 h. \
             Slow burn: at least {} over 3 d and 6 h.</p>\n{}{}{plots}</body>\n</html>\n",
            escaped(&self.report.coverage()),
            report::BurnStatus::FAST_RATE,
            report::BurnStatus::MEDIUM_RATE,
            report::BurnStatus::SLOW_RATE,
            self.burn_table(),
            self.wait_table(),
        ))
    }

    fn burn_table(self) -> String {
        let mut html = String::from(
            "<h2>Burn rates</h2>\n<table>\n<tr><th>service<th>team<th>objective\
             <th class=\"number\">target",
        );
        for window in count::BurnWindow::ALL {
            html.push_str("<th class=\"number\">");
            html.push_str(&window.to_string());
        }
        html.push_str("<th class=\"number\">budget left<th>status</tr>\n");
        for row in &self.report.rows {
            for objective in &row.objectives {
                html.push_str(&objective_row(row, objective));
            }
        }
        html.push_str("</table>\n");
        html
    }

    fn wait_table(self) -> String {
        let mut html = String::from(
            "<h2>Waits of the last hour</h2>\n<table>\n<tr><th>service<th>team\
             <th class=\"number\">requests<th class=\"number\">mean wait\
             <th class=\"number\">longest wait<th class=\"number\">refused inside the rate, 3 d</tr>\n",
        );
        for row in &self.report.rows {
            let cells = [
                row.requests.to_string(),
                format!("{:.1} ms", row.wait_mean_ms),
                format!("{:.1} ms", row.wait_max_ms),
                row.refused_inside_rate.to_string(),
            ];
            html.push_str(&name_cells(row));
            html.push_str(&cells.map(|cell| number_cell(&cell)).concat());
            html.push_str("</tr>\n");
        }
        html.push_str("</table>\n");
        html
    }

    /// Renders the past 6 hours of each service: one plot for each objective, with one line for each team.
    fn plots(self) -> Result<String, error::ReportError> {
        let services: collections::BTreeSet<_> =
            self.report.rows.iter().map(|row| &row.service).collect();
        let mut html = String::new();
        for service in services {
            html.push_str("<h2>Past 6 hours of ");
            html.push_str(&escaped(service));
            html.push_str("</h2>\n<div class=\"plots\">\n");
            for kind in report::ObjectiveKind::ALL {
                html.push_str("<figure>");
                html.push_str(&self.plot(service, kind)?);
                html.push_str("</figure>\n");
            }
            html.push_str("</div>\n");
        }
        Ok(html)
    }

    fn plot(
        self,
        service: &name::ServiceName,
        kind: report::ObjectiveKind,
    ) -> Result<String, error::ReportError> {
        let rows = self
            .report
            .rows
            .iter()
            .filter(|row| row.service == *service);
        let mut series: Vec<_> = rows.map(|row| team_series(row, kind)).collect();
        series.sort_by(|left, right| left.name.cmp(&right.name));
        let fast = report::BurnStatus::FAST_RATE;
        plot::ResultPlot::new(format!("Burn rate: {kind}"))
            .x_label("minutes ago")
            .y_label("burn rate")
            .size_px(PLOT_WIDTH_PX, PLOT_HEIGHT_PX)
            .reversed_x()
            .x_from(0.0)
            .x_to(snapshot::HistoryBucket::WINDOW.span().as_secs_f64() / SECONDS_PER_MINUTE)
            .reference_line(plot::ReferenceLine::new(
                "budget",
                report::BurnStatus::SLOW_RATE,
            ))
            .reference_line(plot::ReferenceLine::new("fast burn", fast))
            .series(series)
            .to_svg()
    }
}

fn team_series(row: &report::BurnRow, kind: report::ObjectiveKind) -> plot::PlotSeries {
    let objective = row.objectives.iter().find(|burn| burn.objective == kind);
    let history = objective.map_or(&[][..], |burn| &burn.history);
    let points = history.iter().map(|bucket| plot::PlotPoint {
        x: age_minutes(bucket.age),
        y: bucket.burn_rate,
    });
    plot::PlotSeries {
        name: row.team.to_string(),
        points: points.collect(),
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "an age is a small number of buckets"
)]
fn age_minutes(age: u64) -> f64 {
    let width = snapshot::HistoryBucket::WINDOW.bucket_width();
    age as f64 * width.as_secs_f64() / SECONDS_PER_MINUTE
}

fn objective_row(row: &report::BurnRow, objective: &report::ObjectiveBurn) -> String {
    const PER_MILLION_TO_PER_CENT: f64 = 10_000.0;
    let target = f64::from(objective.target_per_million) / PER_MILLION_TO_PER_CENT;
    let mut html = name_cells(row);
    html.push_str("<td>");
    html.push_str(&objective.objective.to_string());
    html.push_str(&number_cell(&format!("{target} %")));
    for window in &objective.windows {
        html.push_str(&number_cell(&burn_table::rate_text(window)));
    }
    html.push_str(&number_cell(&burn_table::percent_text(
        objective.budget_left,
    )));
    html.push_str(&status_cell(objective.status));
    html.push_str(
        "</tr>
",
    );
    html
}

fn status_cell(status: report::BurnStatus) -> String {
    format!("<td class=\"{}\">{status}", status_class(status))
}

fn status_class(status: report::BurnStatus) -> &'static str {
    match status {
        report::BurnStatus::NoEvents => "no_events",
        report::BurnStatus::Good => "good",
        report::BurnStatus::SlowBurn => "slow_burn",
        report::BurnStatus::FastBurn => "fast_burn",
    }
}

fn name_cells(row: &report::BurnRow) -> String {
    format!(
        "<tr><td>{}<td>{}",
        escaped(&row.service),
        escaped(&row.team)
    )
}

fn number_cell(text: &str) -> String {
    format!("<td class=\"number\">{text}")
}

/// Escapes the special characters of HTML.
fn escaped(text: &str) -> String {
    let mut html = String::with_capacity(text.len());
    for char in text.chars() {
        match char {
            '&' => html.push_str("&amp;"),
            '<' => html.push_str("&lt;"),
            '>' => html.push_str("&gt;"),
            '"' => html.push_str("&quot;"),
            '\'' => html.push_str("&#39;"),
            _ => html.push(char),
        }
    }
    html
}
