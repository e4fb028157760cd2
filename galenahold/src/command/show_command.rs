//! `show`: shows a part of the state.

use crate::client;
use crate::command;
use crate::output;

const WHAT: &str = "WHAT";
const INTENT: &str = "intent";

/// `show`: shows a part of the state.
#[derive(Debug)]
pub(super) struct ShowCommand {
    what: String,
}

impl ShowCommand {
    pub(super) const NAME: &'static str = "show";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Show the intent, backend servers, replicas, the revision or orders")
            .arg(
                clap::Arg::new(WHAT)
                    .required(true)
                    .value_parser([INTENT, "servers", "replicas", "revision", "orders"])
                    .help("What to show; the intent is JSON, ready to be changed and planned"),
            )
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            what: matches.get_one(WHAT).cloned().unwrap_or_default(),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let path = match self.what.as_str() {
            "servers" => "/v1/servers",
            "replicas" => "/v1/replicas",
            "revision" => "/v1/revision",
            "orders" => "/v1/orders",
            _ => "/v1/intent",
        };
        let answer = options.client()?.call(&client::OperatorCall::get(path))?;
        options.print(&answer, |answer| self.people_text(answer))
    }

    fn people_text(&self, answer: &serde_json::Value) -> String {
        if self.what == INTENT {
            format!("{:#}", answer.get(INTENT).unwrap_or(answer))
        } else {
            output::ValueText(answer).to_string()
        }
    }
}
