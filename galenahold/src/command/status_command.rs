//! `status`: shows how the fleet fares.

use crate::client;
use crate::command;
use crate::output;

const PATH: &str = "/v1/status";

/// `status`: shows how the fleet fares.
#[derive(Debug)]
pub(super) struct StatusCommand;

impl StatusCommand {
    pub(super) const NAME: &'static str = "status";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Show the instance that answers, the leader, the revision and the instances")
    }

    pub(super) fn run(options: &command::GlobalOptions) -> Result<(), command::CommandError> {
        let answer = options.client()?.call(&client::OperatorCall::get(PATH))?;
        options.print(&answer, |answer| output::ValueText(answer).to_string())
    }
}
