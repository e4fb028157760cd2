//! `check-configuration`: checks the document that an operator is about to declare.

use std::fs;
use std::path;
use std::time;

use galenahold_domain::declaration;
use galenahold_instance::gateway::FleetDialect;
use galenahold_platform::PlatformDialect;
use snafu::ResultExt;

use crate::command;
use crate::command::command_error;
use crate::document;

const FILE: &str = "file";
const IN_FORCE: &str = "in-force";
const STEP_MS: &str = "step-ms";

/// `check-configuration`: checks a configuration document and sends nothing.
#[derive(Debug)]
pub(super) struct CheckConfigurationCommand {
    file: path::PathBuf,
    in_force: Option<path::PathBuf>,
    step: Option<time::Duration>,
}

impl CheckConfigurationCommand {
    pub(super) const NAME: &'static str = "check-configuration";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Check a configuration document of the users' platform and send nothing")
            .long_about(
                "Check a configuration document of the users' platform and send nothing. Errors are \
                 what the fleet would refuse; warnings are parts that can't work as written. Each \
                 has the path of its field.",
            )
            .arg(
                file_argument(FILE)
                    .required(true)
                    .help("Configuration document, in JSON"),
            )
            .arg(
                file_argument(IN_FORCE)
                    .long(IN_FORCE)
                    .help("Document in force; shows the differences from it"),
            )
            .arg(
                clap::Arg::new(STEP_MS)
                    .long(STEP_MS)
                    .value_name("MS")
                    .value_parser(clap::value_parser!(f64))
                    .help("Duration of an engine's step; allowed pauses are compared with it"),
            )
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        let step_ms = matches.get_one::<f64>(STEP_MS);
        Self {
            file: matches.get_one(FILE).cloned().unwrap_or_default(),
            in_force: matches.get_one(IN_FORCE).cloned(),
            step: step_ms.and_then(|ms| time::Duration::try_from_secs_f64(ms / 1e3).ok()),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let declaration = read_declaration(&self.file)?;
        let in_force = self.in_force.as_deref().map(read_declaration).transpose()?;
        let answer = review(&declaration, in_force.as_ref(), self.step);
        options.print(&answer, show_answer)?;
        if answer.valid {
            return Ok(());
        }
        command_error::ConfigurationRefusedSnafu {
            file: self.file.clone(),
        }
        .fail()
    }
}

fn file_argument(name: &'static str) -> clap::Arg {
    clap::Arg::new(name)
        .value_name("FILE")
        .value_parser(clap::value_parser!(path::PathBuf))
}

fn read_declaration(
    file: &path::Path,
) -> Result<declaration::FleetDeclaration, command::CommandError> {
    let content = fs::read(file).context(command_error::FileUnreadableSnafu {
        what: "a configuration",
        file,
    })?;
    PlatformDialect.read_document(&content).map_err(|problem| {
        command::CommandError::ConfigurationInvalid {
            file: file.to_owned(),
            problem: problem.to_string(),
        }
    })
}

fn review(
    declaration: &declaration::FleetDeclaration,
    in_force: Option<&declaration::FleetDeclaration>,
    step: Option<time::Duration>,
) -> document::ConfigurationAnswer {
    let mut review = declaration::DeclarationReview::new(declaration, step);
    if let Some(in_force) = in_force {
        review = review.with_in_force(in_force);
    }
    let findings = review.findings();
    let differences =
        in_force.map(|in_force| declaration::declaration_differences(in_force, declaration));
    document::ConfigurationAnswer {
        number: declaration.number,
        valid: findings
            .iter()
            .all(|finding| finding.severity != declaration::FindingSeverity::Error),
        findings: findings.into_iter().map(show_finding).collect(),
        differences: differences.map(|list| list.into_iter().map(show_difference).collect()),
    }
}

fn show_finding(finding: declaration::DeclarationFinding) -> document::ConfigurationFinding {
    document::ConfigurationFinding {
        severity: finding.severity.to_string(),
        field: PlatformDialect.field_path(finding.place),
        problem: finding.problem,
    }
}

fn show_difference(
    difference: declaration::DeclarationDifference,
) -> document::ConfigurationDifference {
    let part = match difference.part {
        declaration::DifferingPart::Whole => "configuration".to_owned(),
        declaration::DifferingPart::Route(route) => format!("route \"{route}\""),
        declaration::DifferingPart::Service(service) => format!("service \"{service}\""),
        declaration::DifferingPart::Model { service, model } => {
            format!("model \"{model}\" of service \"{service}\"")
        }
        declaration::DifferingPart::Team(team) => format!("team \"{team}\""),
        declaration::DifferingPart::Limits => "limits".to_owned(),
    };
    let whole = |change| document::ConfigurationDifference {
        part: part.clone(),
        change,
        field: None,
        before: None,
        after: None,
    };
    match difference.kind {
        declaration::DifferenceKind::Added => whole("added"),
        declaration::DifferenceKind::Removed => whole("removed"),
        declaration::DifferenceKind::Changed {
            field,
            before,
            after,
        } => document::ConfigurationDifference {
            field: Some(PlatformDialect.field_name(field)),
            before: Some(before),
            after: Some(after),
            ..whole("changed")
        },
    }
}

fn show_answer(answer: &document::ConfigurationAnswer) -> String {
    let mut lines = Vec::new();
    for finding in &answer.findings {
        lines.push(format!(
            "{}: {}: {}",
            finding.severity, finding.field, finding.problem
        ));
    }
    let differences = answer.differences.iter().flatten();
    lines.extend(differences.map(describe_difference));
    let verdict = if answer.valid { "valid" } else { "not valid" };
    lines.push(format!("configuration {} is {verdict}", answer.number));
    lines.join("\n")
}

fn describe_difference(difference: &document::ConfigurationDifference) -> String {
    let (change, part) = (difference.change, &difference.part);
    match (difference.field, &difference.before, &difference.after) {
        (Some(field), Some(before), Some(after)) => {
            format!("{change}: {part}: {field} {before} -> {after}")
        }
        _ => format!("{change}: {part}"),
    }
}
