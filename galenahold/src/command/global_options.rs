//! Options that every command takes.

use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::path;
use std::time;

use serde::Serialize;
use snafu::{OptionExt, ResultExt, ensure};

use crate::client;
use crate::command;
use crate::command::command_error;
use crate::output;

const OPERATORS: &str = "operators";
const CREDENTIAL_FILE: &str = "credential-file";
const OUTPUT: &str = "output";
const TIMEOUT: &str = "timeout";
const LOG: &str = "log";

/// Options that every command takes.
#[derive(Debug)]
pub(crate) struct GlobalOptions {
    operators: Vec<net::SocketAddr>,
    credential_file: Option<path::PathBuf>,
    output: output::OutputFormat,
    time_limit: time::Duration,
    log_filter: Option<String>,
}

impl GlobalOptions {
    /// Returns the definitions of the options.
    pub(super) fn definitions() -> [clap::Arg; 5] {
        [
            clap::Arg::new(OPERATORS)
                .long(OPERATORS)
                .value_name("ADDR")
                .value_delimiter(',')
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Operators' faces as IP:PORT, parted by commas; the next one is tried on failure"),
            clap::Arg::new(CREDENTIAL_FILE)
                .long(CREDENTIAL_FILE)
                .value_name("FILE")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("File with the operator's bearer credential on one line"),
            clap::Arg::new(OUTPUT)
                .long(OUTPUT)
                .value_name("FORM")
                .value_parser(["people", "json"])
                .default_value("people")
                .help("Form of the output and of errors"),
            clap::Arg::new(TIMEOUT)
                .long(TIMEOUT)
                .value_name("SECONDS")
                .value_parser(clap::value_parser!(u64).range(1..=3600))
                .default_value("15")
                .help("Time limit of a call to the fleet, with all its attempts"),
            clap::Arg::new(LOG)
                .long(LOG)
                .value_name("FILTER")
                .help("Log level, or levels by module [default: info for serve and platform, warn for the others]"),
        ]
        .map(|argument| argument.global(true).help_heading("Global options"))
    }

    /// Takes the options from a parsed command line.
    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        let json = matches
            .get_one::<String>(OUTPUT)
            .is_some_and(|form| form == "json");
        let output = if json {
            output::OutputFormat::Json
        } else {
            output::OutputFormat::People
        };
        let seconds = matches.get_one::<u64>(TIMEOUT).copied().unwrap_or_default();
        Self {
            operators: matches
                .get_many(OPERATORS)
                .map(|addresses| addresses.copied().collect())
                .unwrap_or_default(),
            credential_file: matches.get_one(CREDENTIAL_FILE).cloned(),
            output,
            time_limit: time::Duration::from_secs(seconds),
            log_filter: matches.get_one(LOG).cloned(),
        }
    }

    /// Returns the form of the output.
    pub(super) fn output(&self) -> output::OutputFormat {
        self.output
    }

    /// Returns the log filter, or `default` where none is given.
    pub(super) fn log_filter<'a>(&'a self, default: &'a str) -> &'a str {
        self.log_filter.as_deref().unwrap_or(default)
    }

    /// Creates a client of the operators' faces.
    ///
    /// # Errors
    ///
    /// Fails where there is no address or no valid credential.
    pub(super) fn client(&self) -> Result<client::OperatorClient, command::CommandError> {
        ensure!(
            !self.operators.is_empty(),
            command_error::OptionMissingSnafu {
                option: "--operators ADDR"
            }
        );
        let file = self.credential_file.as_deref();
        let file = file.context(command_error::OptionMissingSnafu {
            option: "--credential-file FILE",
        })?;
        let credential = read_credential(file)?;
        Ok(client::OperatorClient::new(
            self.operators.clone(),
            &credential,
            self.time_limit,
        ))
    }

    /// Prints a document: as JSON, or as the text that `people` makes of it.
    ///
    /// # Errors
    ///
    /// Fails where standard output cannot be written.
    pub(super) fn print<Document: Serialize>(
        &self,
        document: &Document,
        people: impl FnOnce(&Document) -> String,
    ) -> Result<(), command::CommandError> {
        let text = match self.output {
            output::OutputFormat::People => people(document),
            output::OutputFormat::Json => serde_json::to_string_pretty(document)
                .context(command_error::DocumentUnwritableSnafu)?,
        };
        write_output(format!("{}\n", text.trim_end()).as_bytes())
    }
}

/// Writes to standard output; a reader that has read enough is no failure.
pub(super) fn write_output(bytes: &[u8]) -> Result<(), command::CommandError> {
    match io::stdout().write_all(bytes) {
        Err(failure) if failure.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        outcome => outcome.context(command_error::OutputUnwritableSnafu),
    }
}

fn read_credential(file: &path::Path) -> Result<String, command::CommandError> {
    let text = fs::read_to_string(file).context(command_error::FileUnreadableSnafu {
        what: "the credential",
        file,
    })?;
    let credential = text.trim();
    let valid = !credential.is_empty() && credential.chars().all(|char| char.is_ascii_graphic());
    ensure!(valid, command_error::CredentialInvalidSnafu { file });
    Ok(String::from(credential))
}
