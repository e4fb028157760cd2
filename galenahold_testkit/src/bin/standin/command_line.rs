//! The command line of the stand-ins.

use std::net;
use std::path;

use clap::{Arg, ArgAction, Command, value_parser};
use galenahold_testkit::announce;

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("galenahold-standin")
        .about("Stands in for model engines, plain services and the weight store")
        .subcommand_required(true)
        .subcommand(announced("engine", "Runs a model engine").arg(store_flag()))
        .subcommand(announced("service", "Runs a plain service").arg(service_flag()))
        .subcommand(
            Command::new("store")
                .about("Runs a weight store")
                .arg(settings_flag())
                .arg(address_flag(
                    "listen",
                    "Listens for fetches at this address",
                )),
        )
        .subcommand(fleet())
        .subcommand(Command::new("serve").hide(true).arg(settings_flag()))
}

/// Replaces the announce settings that flags name.
pub(crate) fn override_announce(
    flags: &clap::ArgMatches,
    settings: &mut announce::AnnounceSettings,
) {
    if let Some(name) = flags.get_one::<String>("name") {
        settings.name.clone_from(name);
    }
    if let Some(data_centre) = flags.get_one::<String>("data-centre") {
        settings.data_centre.clone_from(data_centre);
    }
    let instances = addresses(flags, "instance");
    if !instances.is_empty() {
        settings.instances = instances;
    }
}

/// Returns the addresses that a flag names.
pub(crate) fn addresses(flags: &clap::ArgMatches, flag: &str) -> Vec<net::SocketAddr> {
    let given = flags.get_many(flag);
    given.map_or_else(Vec::new, |given| given.copied().collect())
}

/// Returns a required path.
pub(crate) fn path_of<'a>(flags: &'a clap::ArgMatches, flag: &str) -> &'a path::Path {
    flags
        .get_one::<path::PathBuf>(flag)
        .map_or(path::Path::new(""), |path| path.as_path())
}

/// Replaces an address that a flag names.
pub(crate) fn override_address(
    flags: &clap::ArgMatches,
    flag: &str,
    address: &mut net::SocketAddr,
) {
    if let Some(given) = flags.get_one(flag) {
        *address = *given;
    }
}

/// Builds a command of a stand-in that announces itself.
fn announced(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(settings_flag())
        .arg(text_flag("name", "Announces itself under this name"))
        .arg(text_flag("data-centre", "Announces this data centre"))
        .arg(instance_flag())
        .arg(address_flag(
            "listen",
            "Listens for requests at this address",
        ))
        .arg(address_flag(
            "admin",
            "Serves ledger and controls at this address",
        ))
}

/// Builds the command of a whole deployment.
fn fleet() -> Command {
    Command::new("fleet")
        .about("Runs all stand-ins of a deployment")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(path::PathBuf))
                .help("Reads this deployment file"),
        )
        .arg(instance_flag())
        .arg(
            Arg::new("preload")
                .long("preload")
                .action(ArgAction::SetTrue)
                .help("Has models ready at the start, as far as memory goes"),
        )
}

fn instance_flag() -> Arg {
    address_flag("instance", "Announces to this address; may be repeated").action(ArgAction::Append)
}

fn settings_flag() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .help("Reads settings from this JSON file")
}

fn store_flag() -> Arg {
    address_flag("store", "Loads through the weight store at this address")
}

fn service_flag() -> Arg {
    text_flag("service", "Belongs to this service")
}

fn text_flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

fn address_flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(net::SocketAddr))
        .help(help)
}
