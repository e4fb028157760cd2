//! `serve`: runs an instance.

use std::path;

use crate::command;
use crate::command::settings_argument;
use crate::serve;

/// `serve`: runs an instance until SIGTERM or SIGINT.
#[derive(Debug)]
pub(super) struct ServeCommand {
    settings: path::PathBuf,
}

impl ServeCommand {
    pub(super) const NAME: &'static str = "serve";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Run an instance")
            .long_about(
                "Run an instance until SIGTERM or SIGINT. On the first signal it stops in order: it \
                 becomes unready, goes on for the balancer's notice time, answers all requests, \
                 returns its grants and exits with 0. Logs go to standard error, an event a line.",
            )
            .arg(settings_argument::settings_argument())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            settings: settings_argument::settings_from(matches),
        }
    }

    pub(super) fn run(&self) -> Result<(), command::CommandError> {
        let settings = galenahold_settings::InstanceSettings::from_file(&self.settings)?;
        serve::run(&settings)?;
        Ok(())
    }
}
