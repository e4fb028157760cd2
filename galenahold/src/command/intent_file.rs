//! A file with an intent.

use std::fs;
use std::path;

use galenahold_domain::intent;
use snafu::ResultExt;

use crate::command;
use crate::command::command_error;

const INTENT: &str = "intent";

/// A file with an intent, in JSON with comments.
#[derive(Debug)]
pub(crate) struct IntentFile {
    file: path::PathBuf,
}

impl IntentFile {
    /// Returns the definition of the option that names the file.
    pub(super) fn definition() -> clap::Arg {
        clap::Arg::new(INTENT)
            .long(INTENT)
            .value_name("FILE")
            .value_parser(clap::value_parser!(path::PathBuf))
            .required(true)
            .help("File with the whole wanted intent, in JSON with comments")
    }

    /// Takes the file from a parsed command line.
    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            file: matches.get_one(INTENT).cloned().unwrap_or_default(),
        }
    }

    /// Reads the intent.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or holds no intent.
    pub(super) fn read(&self) -> Result<intent::FleetIntent, command::CommandError> {
        let file = self.file.as_path();
        let text = fs::read_to_string(file).context(command_error::FileUnreadableSnafu {
            what: "the intent",
            file,
        })?;
        galenahold_settings::parse_document(&text).map_err(|problem| {
            command::CommandError::IntentInvalid {
                file: self.file.clone(),
                problem: Box::new(problem),
            }
        })
    }
}
