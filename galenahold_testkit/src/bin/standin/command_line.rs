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
    if let Some(instances) = flags.get_many("instance") {
        settings.instances = instances.copied().collect();
    }
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
        .arg(
            address_flag(
                "instance",
                "Announces itself to this address; may be repeated",
            )
            .action(ArgAction::Append),
        )
        .arg(address_flag(
            "listen",
            "Listens for requests at this address",
        ))
        .arg(address_flag(
            "admin",
            "Serves ledger and controls at this address",
        ))
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
