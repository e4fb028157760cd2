//! `completions`: prints a script that completes command lines.

use crate::command;
use crate::command::global_options;

const SHELL: &str = "SHELL";

/// `completions`: prints a script that completes command lines in a shell.
#[derive(Debug)]
pub(super) struct CompletionsCommand {
    shell: clap_complete::Shell,
}

impl CompletionsCommand {
    pub(super) const NAME: &'static str = "completions";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Print a script that completes command lines")
            .arg(
                clap::Arg::new(SHELL)
                    .required(true)
                    .value_parser(clap::value_parser!(clap_complete::Shell))
                    .help("The shell that is to read the script"),
            )
    }

    pub(super) fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            shell: matches
                .get_one(SHELL)
                .copied()
                .unwrap_or(clap_complete::Shell::Bash),
        }
    }

    pub(super) fn run(&self) -> Result<(), command::CommandError> {
        let mut script = Vec::new();
        let mut definition = command::RootCommand::definition();
        clap_complete::generate(self.shell, &mut definition, "galenahold", &mut script);
        global_options::write_output(&script)
    }
}
