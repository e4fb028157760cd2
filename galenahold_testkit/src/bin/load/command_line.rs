//! The command line of the load tool.

use std::fs;
use std::net;
use std::path;
use std::time;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use galenahold_testkit::{TestkitError, load};
use serde::de;

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("galenahold-load")
        .about("Generates load traces, plays them and compares results")
        .subcommand_required(true)
        .subcommand(trace_command())
        .subcommand(run_command())
        .subcommand(experiment_command())
        .subcommand(
            Command::new("compare")
                .about("Prints two result files side by side")
                .arg(position("first"))
                .arg(position("second")),
        )
        .subcommand(
            Command::new("intent")
                .about("Prints the intent that an operator would state for a deployment")
                .arg(file("deployment", "Reads this deployment file")),
        )
}

/// Reads the plan of a trace.
pub(crate) fn trace_plan(flags: &ArgMatches) -> load::TracePlan {
    let defaults = load::TracePlan::default();
    let number = |name: &str| flags.get_one::<f64>(name).copied();
    let bursts = number("burst-every").map(|every_s| load::BurstPlan {
        every_s,
        length_s: number("burst-length").unwrap_or(1.0),
        factor: number("burst-factor").unwrap_or(5.0),
    });
    load::TracePlan {
        seed: flags.get_one("seed").copied().unwrap_or(defaults.seed),
        duration_s: number("duration").unwrap_or(defaults.duration_s),
        scale: number("scale").unwrap_or(defaults.scale),
        team_factors: pairs(flags, "team-factor")
            .map(|(team, factor)| load::TeamFactor {
                team: team.to_owned(),
                factor: factor.parse().unwrap_or(1.0),
            })
            .collect(),
        bursts,
        idle_s: number("idle").unwrap_or(defaults.idle_s),
    }
}

/// Reads the settings of a run.
pub(crate) fn load_settings(flags: &ArgMatches) -> load::LoadSettings {
    let defaults = load::LoadSettings::default();
    let keys = pairs(flags, "key").fold(load::TeamKeys::default(), |keys, (team, key)| {
        keys.with(team, key)
    });
    let label = flags.get_one::<String>("label").cloned();
    let timeout = flags.get_one::<u64>("timeout-ms").copied();
    load::LoadSettings {
        label: label.unwrap_or(defaults.label),
        targets: addresses(flags, "target")
            .into_iter()
            .map(load::LoadTarget::always)
            .collect(),
        straight_engines: addresses(flags, "straight-engine")
            .into_iter()
            .map(load::DirectEngine::any_model)
            .collect(),
        straight_services: addresses(flags, "straight-service"),
        keys,
        timeout: timeout.map_or(defaults.timeout, time::Duration::from_millis),
        speed: flags
            .try_get_one("speed")
            .ok()
            .flatten()
            .copied()
            .unwrap_or(defaults.speed),
    }
}

/// Reads the JSON file that a flag names, or takes the default.
pub(crate) fn json_file<V: de::DeserializeOwned + Default>(
    flags: &ArgMatches,
    name: &str,
) -> Result<V, TestkitError> {
    let Some(path) = flags.get_one::<path::PathBuf>(name) else {
        return Ok(V::default());
    };
    let text = fs::read_to_string(path).map_err(|source| TestkitError::File {
        path: path.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| TestkitError::Json {
        what: path.display().to_string(),
        source,
    })
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Generates a trace from a deployment")
        .arg(file("deployment", "Reads this deployment file"))
        .arg(file("out", "Writes the trace to this file"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Draws with this seed [default: 1]"),
        )
        .arg(number("duration", "Covers this many seconds [default: 10]"))
        .arg(number(
            "scale",
            "Multiplies the usual requests [default: 1]",
        ))
        .arg(pair(
            "team-factor",
            "TEAM=FACTOR",
            "Multiplies one team's requests",
        ))
        .arg(number(
            "burst-every",
            "Lets a burst come after each so many seconds",
        ))
        .arg(number(
            "burst-length",
            "Lets bursts last this many seconds [default: 1]",
        ))
        .arg(number(
            "burst-factor",
            "Multiplies requests in bursts [default: 5]",
        ))
        .arg(number(
            "idle",
            "Counts a model as idle after this many seconds [default: 60]",
        ))
}

fn run_command() -> Command {
    Command::new("run")
        .about("Plays a trace and writes the result")
        .arg(file("trace", "Plays this trace file"))
        .arg(file("out", "Writes the result to this file"))
        .arg(address("target", "Sends to this instance; may be repeated"))
        .arg(address(
            "straight-engine",
            "Sends every second completion to this engine directly; may be repeated",
        ))
        .arg(address(
            "straight-service",
            "Sends every second order to this server directly; may be repeated",
        ))
        .arg(pair("key", "TEAM=KEY", "Shows this key for a team"))
        .arg(label())
        .arg(timeout())
        .arg(number(
            "speed",
            "Plays the trace this many times faster [default: 1]",
        ))
}

fn experiment_command() -> Command {
    Command::new("experiment")
        .about("Starts a deployment with real instances, plays a trace and reads the ledgers")
        .arg(file("deployment", "Reads this deployment file"))
        .arg(file("trace", "Plays this trace file"))
        .arg(file("out", "Writes the result to this file"))
        .arg(
            file(
                "settings",
                "Lays this JSON file over the instances' settings",
            )
            .required(false),
        )
        .arg(
            file(
                "keep",
                "Keeps the instances' files in a new folder below this one",
            )
            .required(false),
        )
        .arg(
            file(
                "faults",
                "Makes the faults of this JSON file while the trace is played",
            )
            .required(false),
        )
        .arg(switch(
            "no-delays",
            "Leaves out the delays of the deployment",
        ))
        .arg(switch(
            "preload",
            "Has models ready at the start, as far as memory goes",
        ))
        .arg(switch(
            "straight",
            "Sends every second request for preloaded models to an engine directly",
        ))
        .arg(label())
        .arg(timeout())
}

fn position(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(path::PathBuf))
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(path::PathBuf))
        .help(help)
}

fn label() -> Arg {
    Arg::new("label")
        .long("label")
        .value_name("NAME")
        .help("Names the result [default: run]")
}

fn timeout() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("NUMBER")
        .value_parser(value_parser!(u64))
        .help("Gives a request this many milliseconds [default: 60000]")
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(f64))
        .help(help)
}

fn pair(name: &'static str, form: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(form)
        .action(ArgAction::Append)
        .help(help)
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_parser(value_parser!(net::SocketAddr))
        .help(help)
}

fn addresses(flags: &ArgMatches, name: &str) -> Vec<net::SocketAddr> {
    let given = flags.try_get_many(name).ok().flatten();
    given.map_or_else(Vec::new, |given| given.copied().collect())
}

/// Splits the values of a flag at their first equals sign.
fn pairs<'a>(flags: &'a ArgMatches, name: &str) -> impl Iterator<Item = (&'a str, &'a str)> {
    let given = flags.try_get_many::<String>(name).ok().flatten();
    given
        .into_iter()
        .flatten()
        .filter_map(|pair| pair.split_once('='))
}
