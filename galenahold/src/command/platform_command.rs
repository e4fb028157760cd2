//! `platform`: runs an instance on the users' platform.

use crate::command;

/// `platform`: runs an instance on the users' platform until SIGTERM.
#[derive(Debug)]
pub(super) struct PlatformCommand;

impl PlatformCommand {
    pub(super) const NAME: &'static str = "platform";

    pub(super) fn definition() -> clap::Command {
        clap::Command::new(Self::NAME)
            .about("Run an instance on the users' platform")
            .long_about(
                "Run an instance on the users' platform until SIGTERM. The platform names the settings \
                 file in the environment; on SIGHUP it is read again. Logs go to standard output, an \
                 event a line.",
            )
    }

    pub(super) fn run() -> Result<(), command::CommandError> {
        let file = galenahold_platform::BootFile::find()?;
        let settings = file.read()?;
        let dialect = galenahold_platform::PlatformDialect;
        galenahold_instance::gateway::GatewayInstance::new(settings, dialect)
            .run(|| file.read())
            .map_err(galenahold_platform::PlatformError::from)?;
        Ok(())
    }
}
