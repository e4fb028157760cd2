//! `keys`: gives and withdraws callers' keys.

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::command::request_id;
use crate::document;
use crate::output;

const GIVE: &str = "give";
const WITHDRAW: &str = "withdraw";
const TEAM: &str = "team";
const ID: &str = "ID";
const GIVE_PATH: &str = "/v1/keys";
const WITHDRAW_PATH: &str = "/v1/keys/withdraw";

/// `keys`: gives and withdraws callers' keys.
#[derive(Debug)]
pub(super) enum KeysCommand {
    /// Gives a key to a team.
    Give {
        /// The team.
        team: String,
        /// The request id.
        request: String,
    },
    /// Withdraws a key.
    Withdraw {
        /// The key's public part.
        id: String,
        /// The request id.
        request: String,
    },
}

impl KeysCommand {
    pub(super) const NAME: &'static str = "keys";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Give and withdraw callers' keys")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(give_definition())
            .subcommand(withdraw_definition())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        match matches.subcommand() {
            Some((WITHDRAW, matches)) => Self::Withdraw {
                id: matches.get_one(ID).cloned().unwrap_or_default(),
                request: request_id::request_from(matches),
            },
            Some((_, matches)) => Self::Give {
                team: matches.get_one(TEAM).cloned().unwrap_or_default(),
                request: request_id::request_from(matches),
            },
            None => unreachable!("clap requires a subcommand"),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        match self {
            Self::Give { team, request } => give(options, team, request),
            Self::Withdraw { id, request } => withdraw(options, id, request),
        }
    }
}

fn give_definition() -> clap::Command {
    clap::Command::new(GIVE)
        .about("Give a key to a team; it is shown once")
        .long_about(
            "Give a key to a team. The key is shown once, here: only a salted hash of it is stored, \
             so keep it now. Where the answer is lost the request is sent again under the same \
             request id and gets the same key; so does a repeat of the command with that --request.",
        )
        .arg(
            clap::Arg::new(TEAM)
                .long(TEAM)
                .value_name("TEAM")
                .required(true)
                .help("The team whose requests the key admits"),
        )
        .arg(request_id::request_argument())
}

fn withdraw_definition() -> clap::Command {
    clap::Command::new(WITHDRAW)
        .about("Withdraw a key; it stops working within seconds, also for running requests")
        .arg(
            clap::Arg::new(ID)
                .required(true)
                .help("The key's public part, as `keys give` shows it; not the key"),
        )
        .arg(request_id::request_argument())
}

fn give(
    options: &command::GlobalOptions,
    team: &str,
    request: &str,
) -> Result<(), command::CommandError> {
    let document = document::GiveKeyRequest { request, team };
    let call = client::OperatorCall::post(GIVE_PATH, &document)
        .context(command_error::DocumentUnwritableSnafu)?
        .request(request);
    let answer = options.client()?.call(&call)?;
    let answer: document::GiveKeyAnswer = serde_json::from_value(answer)
        .context(command_error::AnswerUnexpectedSnafu { path: GIVE_PATH })?;
    options.print(&answer, |answer| {
        let id = output::PrintableText(&answer.id);
        let key = output::PrintableText(&answer.key);
        let revision = answer.revision;
        format!("id        {id}\nrevision  {revision}\nkey       {key}\nThe key is shown once: keep it now.")
    })
}

fn withdraw(
    options: &command::GlobalOptions,
    id: &str,
    request: &str,
) -> Result<(), command::CommandError> {
    let document = document::WithdrawKeyRequest { request, id };
    let call = client::OperatorCall::post(WITHDRAW_PATH, &document)
        .context(command_error::DocumentUnwritableSnafu)?
        .request(request);
    let answer = options.client()?.call(&call)?;
    options.print(&answer, |answer| output::ValueText(answer).to_string())
}
