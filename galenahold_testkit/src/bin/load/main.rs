//! Generates traces, plays them and compares results.

mod command_line;

use std::path;
use std::process;

use galenahold_testkit::{TestkitError, deployment, experiment, load};

fn main() -> process::ExitCode {
    env_logger::init();
    let matches = command_line::command().get_matches();
    let ended = match matches.subcommand() {
        Some(("trace", flags)) => write_trace(flags),
        Some(("run", flags)) => run(flags),
        Some(("experiment", flags)) => run_experiment(flags),
        Some(("compare", flags)) => compare(flags),
        Some(("intent", flags)) => print_intent(flags),
        _ => Ok(()),
    };
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenahold-load: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Generates a trace file.
fn write_trace(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let deployment = read_deployment(flags)?;
    let plan = command_line::trace_plan(flags);
    let trace = load::TraceGenerator::new(&deployment, &plan).generate();
    println!("{} requests", trace.requests().len());
    trace.write(path_of(flags, "out"))
}

/// Plays a trace file and writes the result.
fn run(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let trace = load::LoadTrace::read(path_of(flags, "trace"))?;
    let run = load::LoadRun::new(command_line::load_settings(flags))?;
    let result = run.play(&trace);
    result.write(path_of(flags, "out"))?;
    print!("{}", load::ResultComparison::single(&result));
    Ok(())
}

/// Plays a trace against a fleet of its own and writes the result.
fn run_experiment(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let trace = load::LoadTrace::read(path_of(flags, "trace"))?;
    let plain = command_line::load_settings(flags);
    let builder = experiment::ExperimentBuilder::new(read_deployment(flags)?, &plain.label);
    let builder = match flags.get_one::<path::PathBuf>("keep") {
        Some(parent) => builder.keep_files(parent),
        None => builder,
    };
    let result = builder
        .settings(command_line::json_file(flags, "settings")?)
        .delays(!flags.get_flag("no-delays"))
        .preload(flags.get_flag("preload"))
        .straight(flags.get_flag("straight"))
        .timeout(plain.timeout)
        .faults(command_line::json_file(flags, "faults")?)
        .run(&trace)?;
    result.write(path_of(flags, "out"))?;
    print!("{}", load::ResultComparison::single(&result.load));
    println!("{:#}", serde_json::json!(result.faults));
    println!("{:#}", serde_json::json!(result.findings));
    Ok(())
}

/// Prints two results side by side.
fn compare(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    let first = load::LoadResult::read(path_of(flags, "first"))?;
    let second = load::LoadResult::read(path_of(flags, "second"))?;
    print!("{}", load::ResultComparison::new(&first, &second));
    Ok(())
}

/// Prints the intent that an operator would state for a deployment.
fn print_intent(flags: &clap::ArgMatches) -> Result<(), TestkitError> {
    println!("{:#}", read_deployment(flags)?.intent());
    Ok(())
}

fn read_deployment(flags: &clap::ArgMatches) -> Result<deployment::FleetDeployment, TestkitError> {
    deployment::FleetDeployment::read(path_of(flags, "deployment"))
}

/// Returns a required path.
fn path_of<'a>(flags: &'a clap::ArgMatches, name: &str) -> &'a path::Path {
    flags
        .get_one::<path::PathBuf>(name)
        .map_or(path::Path::new(""), |path| path.as_path())
}
