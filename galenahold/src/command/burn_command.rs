//! `report burn`: reports how fast error budgets burn.

use std::fs;
use std::path;

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::document;
use crate::output;

const PATH: &str = "/v1/report/burn";
const BURN: &str = "burn";
const HTML: &str = "html";

/// `report burn`: reports how fast each service and team burns its error budgets.
#[derive(Debug)]
pub(super) struct BurnCommand {
    html: Option<path::PathBuf>,
}

impl BurnCommand {
    pub(super) const NAME: &'static str = "report";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Report on service levels")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(
                clap::Command::new(BURN)
                    .about("Report how fast each service and team burns its error budgets")
                    .long_about(
                        "Report how fast each service and team burns its error budgets, over windows \
                         of 5 minutes, 1 hour, 6 hours and 3 days, counted by all instances that \
                         answered. A burn rate of 1 uses up the budget exactly in its period.",
                    )
                    .arg(
                        clap::Arg::new(HTML)
                            .long(HTML)
                            .value_name("FILE")
                            .value_parser(clap::value_parser!(path::PathBuf))
                            .help("Also write the report as one HTML page, with plots"),
                    ),
            )
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        let burn = matches.subcommand_matches(BURN);
        Self {
            html: burn.and_then(|matches| matches.get_one(HTML).cloned()),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let answer = options.client()?.call(&client::OperatorCall::get(PATH))?;
        let answer: document::BurnAnswer = serde_json::from_value(answer)
            .context(command_error::AnswerUnexpectedSnafu { path: PATH })?;
        let report = report_of(answer);
        if let Some(file) = &self.html {
            let page = report
                .to_html()
                .context(command_error::ReportUndrawableSnafu)?;
            fs::write(file, page).context(command_error::FileUnwritableSnafu {
                what: "the report",
                file,
            })?;
        }
        options.print(&report, |report| {
            output::PrintableText(&report.to_string()).to_string()
        })
    }
}

fn report_of(answer: document::BurnAnswer) -> galenahold_report::BurnReport {
    let mut merged = galenahold_report::BurnSnapshot::default();
    for snapshot in &answer.snapshots {
        merged.merge(snapshot);
    }
    galenahold_report::BurnReport::from_snapshot(&merged).missing(answer.missing)
}
