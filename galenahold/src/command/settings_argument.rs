//! The option that names the settings file.

use std::path;

const SETTINGS: &str = "settings";

/// Returns the definition of the option.
pub(super) fn settings_argument() -> clap::Arg {
    clap::Arg::new(SETTINGS)
        .long(SETTINGS)
        .value_name("FILE")
        .value_parser(clap::value_parser!(path::PathBuf))
        .required(true)
        .help("Settings of the instance, in JSON with comments")
}

/// Takes the file from a parsed command line.
pub(super) fn settings_from(matches: &clap::ArgMatches) -> path::PathBuf {
    matches.get_one(SETTINGS).cloned().unwrap_or_default()
}
