//! `keys`: gives, lists and withdraws callers' keys.

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::command::request_id;
use crate::document;
use crate::output;

const GIVE: &str = "give";
const WITHDRAW: &str = "withdraw";
const LIST: &str = "list";
const BASE: &str = "base";
const TEAM: &str = "team";
const ID: &str = "ID";
const GIVE_PATH: &str = "/v1/keys";
const REVISION_PATH: &str = "/v1/revision";
const INTENT_PATH: &str = "/v1/intent";
const WITHDRAW_PATH: &str = "/v1/keys/withdraw";

/// `keys`: gives, lists and withdraws callers' keys.
#[derive(Debug)]
pub(super) enum KeysCommand {
    /// Gives a key to a team.
    Give {
        /// The team.
        team: String,
        /// The request id.
        request: String,
        /// The base of an earlier try under the same request id.
        base: Option<u64>,
    },
    /// Shows the keys.
    List,
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
            .about("Give, list and withdraw callers' keys")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(give_definition())
            .subcommand(clap::Command::new(LIST).about("Show the keys' public parts and teams"))
            .subcommand(withdraw_definition())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        match matches.subcommand() {
            Some((WITHDRAW, matches)) => Self::Withdraw {
                id: matches.get_one(ID).cloned().unwrap_or_default(),
                request: request_id::request_from(matches),
            },
            Some((GIVE, matches)) => Self::Give {
                team: matches.get_one(TEAM).cloned().unwrap_or_default(),
                request: request_id::request_from(matches),
                base: matches.get_one(BASE).copied(),
            },
            _ => Self::List,
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        match self {
            Self::Give {
                team,
                request,
                base,
            } => give(options, team, request, *base),
            Self::List => list(options),
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
             request id and gets the same key; so does a repeat of the command with that --request \
             and its --base.",
        )
        .arg(
            clap::Arg::new(TEAM)
                .long(TEAM)
                .value_name("TEAM")
                .required(true)
                .help("The team whose requests the key admits"),
        )
        .arg(request_id::request_argument().requires(BASE))
        .arg(
            clap::Arg::new(BASE)
                .long(BASE)
                .value_name("REVISION")
                .value_parser(clap::value_parser!(u64))
                .help("A revision before the first try: an old request never revives a withdrawn key [default: the revision in force]"),
        )
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
    base: Option<u64>,
) -> Result<(), command::CommandError> {
    let client = options.client()?;
    let base = match base {
        Some(base) => base,
        None => revision_in_force(&client)?,
    };
    let document = document::GiveKeyRequest {
        request,
        base,
        team,
    };
    let call = client::OperatorCall::post(GIVE_PATH, &document)
        .context(command_error::DocumentUnwritableSnafu)?
        .same_request(format!("--request {request} --base {base}"));
    let answer = client.call(&call)?;
    let answer: document::GiveKeyAnswer = serde_json::from_value(answer)
        .context(command_error::AnswerUnexpectedSnafu { path: GIVE_PATH })?;
    options.print(&answer, |answer| {
        let id = output::PrintableText(&answer.id);
        let key = output::PrintableText(&answer.key);
        let revision = answer.revision;
        format!("id        {id}\nrevision  {revision}\nkey       {key}\nThe key is shown once: keep it now.")
    })
}

fn revision_in_force(client: &client::OperatorClient) -> Result<u64, command::CommandError> {
    let answer = client.call(&client::OperatorCall::get(REVISION_PATH))?;
    let answer: document::RevisionAnswer =
        serde_json::from_value(answer).context(command_error::AnswerUnexpectedSnafu {
            path: REVISION_PATH,
        })?;
    Ok(answer.revision)
}

fn list(options: &command::GlobalOptions) -> Result<(), command::CommandError> {
    const KEYS: &str = "keys";
    let mut answer = options
        .client()?
        .call(&client::OperatorCall::get(INTENT_PATH))?;
    let keys = answer[KEYS].take();
    options.print(&keys, |keys| output::ValueText(keys).to_string())
}

fn withdraw(
    options: &command::GlobalOptions,
    id: &str,
    request: &str,
) -> Result<(), command::CommandError> {
    let document = document::WithdrawKeyRequest { request, id };
    let call = client::OperatorCall::post(WITHDRAW_PATH, &document)
        .context(command_error::DocumentUnwritableSnafu)?
        .same_request(format!("--request {request}"));
    let answer = options.client()?.call(&call)?;
    options.print(&answer, |answer| output::ValueText(answer).to_string())
}
