//! `plan`: shows what an intent would change.

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::document;
use crate::output;

const PATH: &str = "/v1/plans";

/// `plan`: shows what an intent would change, and changes nothing.
#[derive(Debug)]
pub(super) struct PlanCommand {
    intent: command::IntentFile,
}

impl PlanCommand {
    pub(super) const NAME: &'static str = "plan";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Show what an intent would change; change nothing")
            .long_about(
                "Show what an intent would change, and change nothing. The answer names the revision \
                 that the plan was made against (its base) and the digest of its steps; `confirm` \
                 puts exactly these steps in force.",
            )
            .arg(command::IntentFile::definition())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            intent: command::IntentFile::from_matches(matches),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let request = document::PlanRequest {
            intent: self.intent.read()?,
        };
        let call = client::OperatorCall::post(PATH, &request)
            .context(command_error::DocumentUnwritableSnafu)?
            .read_only();
        let answer = options.client()?.call(&call)?;
        let plan: document::PlanAnswer = serde_json::from_value(answer)
            .context(command_error::AnswerUnexpectedSnafu { path: PATH })?;
        options.print(&plan, people_text)
    }
}

fn people_text(plan: &document::PlanAnswer) -> String {
    let mut lines = vec![
        format!("base    {}", plan.base),
        format!("digest  {}", output::PrintableText(&plan.digest)),
        String::new(),
    ];
    if plan.steps.is_empty() {
        lines.push(String::from("no steps: the intent is in force already"));
    }
    lines.extend(plan.steps.iter().map(step_line));
    lines.join("\n")
}

/// Returns a step as one line, whether it came as a text or as a document.
fn step_line(step: &serde_json::Value) -> String {
    let text = step.as_str().map_or_else(|| step.to_string(), String::from);
    format!("- {}", output::PrintableText(&text))
}
