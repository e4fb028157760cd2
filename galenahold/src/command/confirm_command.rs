//! `confirm`: puts a plan in force.

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::command::request_id;
use crate::document;

const PATH: &str = "/v1/plans/confirm";
const BASE: &str = "base";
const DIGEST: &str = "digest";

/// `confirm`: puts a plan in force.
#[derive(Debug)]
pub(super) struct ConfirmCommand {
    intent: command::IntentFile,
    base: u64,
    digest: String,
    request: String,
}

impl ConfirmCommand {
    pub(super) const NAME: &'static str = "confirm";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Put a plan in force")
            .long_about(
                "Put a plan in force. It is taken only if its base is still the revision in force and \
                 its steps have the digest; otherwise the answer names who changed what. Where an \
                 answer is lost the request is sent again under the same request id, which is \
                 applied once.",
            )
            .arg(command::IntentFile::definition())
            .arg(
                clap::Arg::new(BASE)
                    .long(BASE)
                    .value_name("REVISION")
                    .value_parser(clap::value_parser!(u64))
                    .required(true)
                    .help("The plan's base, as `plan` shows it"),
            )
            .arg(
                clap::Arg::new(DIGEST)
                    .long(DIGEST)
                    .value_name("DIGEST")
                    .required(true)
                    .help("The plan's digest, as `plan` shows it"),
            )
            .arg(request_id::request_argument())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            intent: command::IntentFile::from_matches(matches),
            base: matches.get_one(BASE).copied().unwrap_or_default(),
            digest: matches.get_one(DIGEST).cloned().unwrap_or_default(),
            request: request_id::request_from(matches),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let request = document::ConfirmRequest {
            request: &self.request,
            base: self.base,
            digest: &self.digest,
            intent: self.intent.read()?,
        };
        let call = client::OperatorCall::post(PATH, &request)
            .context(command_error::DocumentUnwritableSnafu)?
            .same_request(format!("--request {}", self.request));
        let answer = options.client()?.call(&call)?;
        let mut answer: document::ConfirmAnswer = serde_json::from_value(answer)
            .context(command_error::AnswerUnexpectedSnafu { path: PATH })?;
        answer.request.clone_from(&self.request);
        options.print(&answer, |answer| {
            format!("revision {} is in force", answer.revision)
        })
    }
}
