//! `check`: checks a settings file.

use std::path;

use crate::command;
use crate::command::settings_argument;
use crate::document;

/// `check`: checks a settings file and starts nothing.
#[derive(Debug)]
pub(super) struct CheckCommand {
    settings: path::PathBuf,
}

impl CheckCommand {
    pub(super) const NAME: &'static str = "check";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Check a settings file and start nothing")
            .long_about(
                "Check a settings file and start nothing. All problems are reported at once, each \
                 with line, column, the field's path and what is allowed.",
            )
            .arg(settings_argument::settings_argument())
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            settings: settings_argument::settings_from(matches),
        }
    }

    pub(super) fn run(
        &self,
        options: &command::GlobalOptions,
    ) -> Result<(), command::CommandError> {
        let settings = galenahold_settings::InstanceSettings::from_file(&self.settings)?;
        let answer = document::CheckAnswer {
            valid: true,
            cluster: settings.cluster.clone(),
            instance: settings.instance.name.to_string(),
        };
        options.print(&answer, |answer| {
            format!(
                "settings of instance {} in cluster {} are valid",
                answer.instance, answer.cluster
            )
        })
    }
}
