//! `members`: shows and changes the control group.

use std::net;

use snafu::ResultExt;

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::document;
use crate::output;

const LIST: &str = "list";
const ADD: &str = "add";
const PROMOTE: &str = "promote";
const REMOVE: &str = "remove";
const NAME: &str = "NAME";
const ADDRESS: &str = "ADDRESS";

/// `members`: shows and changes the control group.
#[derive(Debug)]
pub(super) enum MembersCommand {
    /// Shows the members.
    List,
    /// Adds a member that does not vote yet.
    Add {
        /// The instance.
        name: String,
        /// The address that others dial.
        address: net::SocketAddr,
    },
    /// Lets a member vote.
    Promote {
        /// The instance.
        name: String,
    },
    /// Removes a member.
    Remove {
        /// The instance.
        name: String,
    },
}

impl MembersCommand {
    pub(super) const NAME: &'static str = "members";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Show and change the members of the control group")
            .long_about(
                "Show and change the members of the control group, one change at a time. To replace a \
                 lost instance: start the new one under a new name, `add` it, `promote` it once \
                 `list` shows it caught up, then `remove` the old one.",
            )
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(clap::Command::new(LIST).about("Show the members and how far each has come"))
            .subcommand(
                clap::Command::new(ADD)
                    .about("Add a member that learns the state and does not vote yet")
                    .arg(name_argument())
                    .arg(
                        clap::Arg::new(ADDRESS)
                            .required(true)
                            .value_parser(clap::value_parser!(net::SocketAddr))
                            .help("The address that other instances dial, as IP:PORT"),
                    ),
            )
            .subcommand(
                clap::Command::new(PROMOTE)
                    .about("Let a member vote; refused until it has caught up")
                    .arg(name_argument()),
            )
            .subcommand(
                clap::Command::new(REMOVE)
                    .about("Remove a member; its name is not to be used again")
                    .arg(name_argument()),
            )
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        match matches.subcommand() {
            Some((ADD, matches)) => Self::Add {
                name: name_from(matches),
                address: matches
                    .get_one(ADDRESS)
                    .copied()
                    .unwrap_or_else(|| unreachable!("clap requires the address")),
            },
            Some((PROMOTE, matches)) => Self::Promote {
                name: name_from(matches),
            },
            Some((REMOVE, matches)) => Self::Remove {
                name: name_from(matches),
            },
            _ => Self::List,
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let call = self
            .call()
            .context(command_error::DocumentUnwritableSnafu)?;
        let answer = options.client()?.call(&call)?;
        options.print(&answer, |answer| output::ValueText(answer).to_string())
    }

    fn call(&self) -> Result<client::OperatorCall, serde_json::Error> {
        let (path, name, address) = match self {
            Self::List => return Ok(client::OperatorCall::get("/v1/members")),
            Self::Add { name, address } => ("/v1/members/add", name, Some(*address)),
            Self::Promote { name } => ("/v1/members/promote", name, None),
            Self::Remove { name } => ("/v1/members/remove", name, None),
        };
        client::OperatorCall::post(path, &document::MemberRequest { name, address })
    }
}

fn name_argument() -> clap::Arg {
    clap::Arg::new(NAME)
        .required(true)
        .help("The instance's name")
}

fn name_from(matches: &clap::ArgMatches) -> String {
    matches.get_one(NAME).cloned().unwrap_or_default()
}
