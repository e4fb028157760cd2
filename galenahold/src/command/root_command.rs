//! The command line as a whole.

use std::ffi;
use std::io;
use std::io::Write;
use std::time;

use crate::command;
use crate::document;
use crate::logging;
use crate::output;
use crate::status;

const HELP_WIDTH: usize = 100;

/// How long the end of a process waits for its last log lines: well below a planned stop's grace time.
const LAST_LINES_LIMIT: time::Duration = time::Duration::from_millis(300);

/// The command line as a whole.
#[derive(Debug)]
pub(crate) struct RootCommand;

impl RootCommand {
    /// Returns the definition of all commands.
    pub(super) fn definition() -> clap::Command {
        clap::Command::new("galenahold")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Serves rarely used models: runs instances, and changes and inspects a fleet of them")
            .after_help(exit_statuses())
            .after_long_help(long_after_help())
            .term_width(HELP_WIDTH)
            .subcommand_required(true)
            .arg_required_else_help(true)
            .disable_help_subcommand(false)
            .args(command::GlobalOptions::definitions())
            .subcommand(command::ServeCommand::definition())
            .subcommand(command::PlatformCommand::definition())
            .subcommand(command::CheckCommand::definition())
            .subcommand(command::CheckConfigurationCommand::definition())
            .subcommand(command::PlanCommand::definition())
            .subcommand(command::ConfirmCommand::definition())
            .subcommand(command::ShowCommand::definition())
            .subcommand(command::KeysCommand::definition())
            .subcommand(command::StatusCommand::definition())
            .subcommand(command::MembersCommand::definition())
            .subcommand(command::BurnCommand::definition())
            .subcommand(command::CompletionsCommand::definition())
    }

    /// Runs a command line.
    pub(crate) fn run(arguments: impl IntoIterator<Item = ffi::OsString>) -> status::ExitStatus {
        let matches = match Self::definition().try_get_matches_from(arguments) {
            Ok(matches) => matches,
            Err(usage) => return usage_status(&usage),
        };
        let options = command::GlobalOptions::from_matches(&matches);
        match run_subcommand(&matches, &options) {
            Ok(()) => status::ExitStatus::Done,
            Err(error) => report_error(&error, options.output()),
        }
    }
}

fn run_subcommand(
    matches: &clap::ArgMatches,
    options: &command::GlobalOptions,
) -> Result<(), command::CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        unreachable!("clap requires a subcommand");
    };
    let (default_filter, output) = match name {
        command::ServeCommand::NAME => ("info", logging::LogOutput::Error),
        command::PlatformCommand::NAME => ("info", logging::LogOutput::Standard),
        _ => ("warn", logging::LogOutput::Error),
    };
    let tail = logging::start_logging(options.log_filter(default_filter), output);
    let result = run_named(name, matches, options);
    if tail.is_some_and(|tail| !tail.wait(LAST_LINES_LIMIT)) {
        eprintln!("the last log lines were not written within {LAST_LINES_LIMIT:?}");
    }
    result
}

fn run_named(
    name: &str,
    matches: &clap::ArgMatches,
    options: &command::GlobalOptions,
) -> Result<(), command::CommandError> {
    match name {
        command::ServeCommand::NAME => command::ServeCommand::from_matches(matches).run(),
        command::PlatformCommand::NAME => command::PlatformCommand::run(),
        command::CheckCommand::NAME => command::CheckCommand::from_matches(matches).run(options),
        command::CheckConfigurationCommand::NAME => {
            command::CheckConfigurationCommand::from_matches(matches).run(options)
        }
        command::PlanCommand::NAME => command::PlanCommand::from_matches(matches).run(options),
        command::ConfirmCommand::NAME => {
            command::ConfirmCommand::from_matches(matches).run(options)
        }
        command::ShowCommand::NAME => command::ShowCommand::from_matches(matches).run(options),
        command::KeysCommand::NAME => command::KeysCommand::from_matches(matches).run(options),
        command::StatusCommand::NAME => command::StatusCommand::run(options),
        command::MembersCommand::NAME => {
            command::MembersCommand::from_matches(matches).run(options)
        }
        command::BurnCommand::NAME => command::BurnCommand::from_matches(matches).run(options),
        command::CompletionsCommand::NAME => {
            command::CompletionsCommand::from_matches(matches).run()
        }
        _ => unreachable!("clap knows the subcommands"),
    }
}

fn usage_status(usage: &clap::Error) -> status::ExitStatus {
    if usage.print().is_err() {
        return status::ExitStatus::Failed;
    }
    if usage.use_stderr() {
        status::ExitStatus::Invalid
    } else {
        status::ExitStatus::Done
    }
}

fn report_error(error: &command::CommandError, format: output::OutputFormat) -> status::ExitStatus {
    let status = error.status();
    let message = error.to_string();
    let text = match format {
        output::OutputFormat::People => format!("error: {}", output::PrintableText(&message)),
        output::OutputFormat::Json => {
            let body = document::ErrorBody {
                kind: error.kind(),
                message,
                exit: status.number(),
            };
            serde_json::to_string(&document::ErrorAnswer { error: body }).unwrap_or_default()
        }
    };
    if writeln!(io::stderr(), "{text}").is_err() {
        log::debug!("standard error is closed");
    }
    status
}

fn exit_statuses() -> String {
    let lines = status::ExitStatus::ALL
        .iter()
        .map(|status| format!("  {}  {}", status.number(), status.meaning()));
    format!("Exit status:\n{}", lines.collect::<Vec<_>>().join("\n"))
}

fn long_after_help() -> String {
    const EXAMPLES: &str = "\
Examples:
  galenahold check --settings kibaha-1.jsonc
  galenahold serve --settings kibaha-1.jsonc
  galenahold --operators 10.20.0.11:8082,10.20.1.11:8082 --credential-file asha.credential \\
      plan --intent fleet.jsonc
  ... confirm --intent fleet.jsonc --base 4 --digest DIGEST
  ... keys give --team councils
  ... report burn --html burn.html";
    format!("{}\n\n{EXAMPLES}", exit_statuses())
}
