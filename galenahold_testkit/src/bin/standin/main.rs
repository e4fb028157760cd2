//! Runs the stand-ins as processes.

mod command_line;
mod ready_line;

use std::fs;
use std::path;
use std::process;
use std::sync;
use std::thread;

use galenahold_testkit::{TestkitError, deployment, engine, service, store};
use serde::de;

use ready_line::ReadyLine;

/// Exit code of a stand-in that crashed on purpose.
const CRASHED_EXIT_CODE: u8 = 70;

fn main() -> process::ExitCode {
    env_logger::init();
    let matches = command_line::command().get_matches();
    let ended = match matches.subcommand() {
        Some(("engine", flags)) => run_engine(flags),
        Some(("service", flags)) => run_service(flags),
        Some(("store", flags)) => run_store(flags),
        Some(("fleet", flags)) => run_fleet(flags),
        Some(("serve", flags)) => run_instance(flags),
        _ => Ok(()),
    };
    match ended {
        Ok(()) => process::ExitCode::from(CRASHED_EXIT_CODE),
        Err(error) => {
            eprintln!("galenahold-standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs an engine until it crashes on purpose.
fn run_engine(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let mut settings: engine::EngineSettings = read_settings(flags)?;
    command_line::override_announce(flags, &mut settings.announce);
    command_line::override_address(flags, "listen", &mut settings.listen);
    command_line::override_address(flags, "admin", &mut settings.admin);
    let mut builder = engine::EngineBuilder::from_settings(settings);
    if let Some(address) = flags.get_one("store") {
        builder = builder.store(store::StoreTarget::Remote(*address));
    }
    let engine = builder.start()?;
    ReadyLine::new(engine.address(), Some(engine.admin())).print();
    engine.wait_crashed();
    Ok(())
}

/// Runs a plain service.
fn run_service(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let mut settings: service::ServiceSettings = read_settings(flags)?;
    command_line::override_announce(flags, &mut settings.announce);
    command_line::override_address(flags, "listen", &mut settings.listen);
    command_line::override_address(flags, "admin", &mut settings.admin);
    if let Some(service) = flags.get_one::<String>("service") {
        settings.service.clone_from(service);
    }
    let service = service::ServiceBuilder::from_settings(settings).start()?;
    ReadyLine::new(service.address(), Some(service.admin())).print();
    service.wait_crashed();
    Ok(())
}

/// Runs a weight store.
fn run_store(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let settings: store::StoreSettings = read_settings(flags)?;
    let mut listen = engine::EngineSettings::default().listen;
    command_line::override_address(flags, "listen", &mut listen);
    let store = sync::Arc::new(store::WeightStore::new(settings));
    let process = store::StoreProcess::start(store, listen)?;
    ReadyLine::new(process.address(), None).print();
    process.wait();
    Ok(())
}

/// Runs all stand-ins of a deployment.
fn run_fleet(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let path = command_line::path_of(flags, "deployment");
    let deployment = deployment::FleetDeployment::read(path)?;
    let instances = command_line::addresses(flags, "instance");
    let preload = flags.get_flag("preload");
    let fleet = deployment::StandInFleet::start(&deployment, &instances, preload)?;
    for engine in fleet.engines() {
        ReadyLine::new(engine.address(), Some(engine.admin())).print();
    }
    for service in fleet.services() {
        ReadyLine::new(service.address(), Some(service.admin())).print();
    }
    loop {
        thread::park();
    }
}

/// Answers as ready where an instance's settings say; for tests of the process harness.
fn run_instance(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let instance: serde_json::Value = read_settings(flags)?;
    let platform = &instance["listen"]["platform"];
    let listen = serde_json::from_value(platform.clone());
    let settings = service::ServiceSettings {
        listen: listen.map_err(|source| TestkitError::Json {
            what: "listen.platform".to_owned(),
            source,
        })?,
        ..service::ServiceSettings::default()
    };
    let service = service::ServiceBuilder::from_settings(settings).start()?;
    eprintln!("stands in for {}", instance["instance"]["name"]);
    service.wait_crashed();
    Ok(())
}

/// Reads the settings file named by the flags, or takes the defaults.
fn read_settings<S: de::DeserializeOwned + Default>(
    flags: &clap::ArgMatches,
) -> Result<S, TestkitError> {
    let Some(path) = flags.get_one::<path::PathBuf>("settings") else {
        return Ok(S::default());
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
