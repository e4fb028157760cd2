//! Why a command failed.

use std::io;
use std::path;

use snafu::Snafu;

use crate::client;
use crate::serve;
use crate::status;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum CommandError {
    /// The settings are not valid or could not be read.
    #[snafu(transparent)]
    Settings {
        /// The problems.
        source: galenahold_settings::SettingsError,
    },
    /// The instance did not run.
    #[snafu(transparent)]
    Serve {
        /// Why.
        source: serve::ServeError,
    },
    /// The instance on the platform did not run.
    #[snafu(transparent)]
    Platform {
        /// Why.
        source: galenahold_platform::PlatformError,
    },
    /// The operators' face refused or did not answer.
    #[snafu(transparent)]
    Call {
        /// Why.
        source: client::CallError,
    },
    /// An option that the command needs is not there.
    #[snafu(display("this command needs {option}; see `galenahold help`"))]
    OptionMissing {
        /// The option with its value's name.
        option: &'static str,
    },
    /// A file could not be read.
    #[snafu(display("cannot read {what} from {}: {source}", file.display()))]
    FileUnreadable {
        /// What the file holds.
        what: &'static str,
        /// The file.
        file: path::PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// A file could not be written.
    #[snafu(display("cannot write {what} to {}: {source}", file.display()))]
    FileUnwritable {
        /// What the file is to hold.
        what: &'static str,
        /// The file.
        file: path::PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// The credential file holds no credential.
    #[snafu(display(
        "{} holds no credential: it has to hold one line of printable ASCII without spaces",
        file.display()
    ))]
    CredentialInvalid {
        /// The file.
        file: path::PathBuf,
    },
    /// The intent file does not hold an intent.
    #[snafu(display("the intent is not valid\n{}:{}: {problem}", file.display(), problem.position))]
    IntentInvalid {
        /// The file.
        file: path::PathBuf,
        /// What is wrong, and where.
        problem: Box<galenahold_settings::SettingsProblem>,
    },
    /// The configuration does not have the form of one.
    #[snafu(display("{} holds no configuration: {problem}", file.display()))]
    ConfigurationInvalid {
        /// The file.
        file: path::PathBuf,
        /// What is wrong, and where.
        problem: String,
    },
    /// The fleet would refuse the configuration.
    #[snafu(display("the fleet would refuse the configuration in {}", file.display()))]
    ConfigurationRefused {
        /// The file.
        file: path::PathBuf,
    },
    /// A document could not be turned into JSON.
    #[snafu(display("cannot write a document as JSON: {source}"))]
    DocumentUnwritable {
        /// Why.
        source: serde_json::Error,
    },
    /// An answer does not have the expected form.
    #[snafu(display(
        "the answer to {path} has another form than expected: {source}; \
         use a galenahold of the fleet's version"
    ))]
    AnswerUnexpected {
        /// The path.
        path: &'static str,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The report could not be drawn.
    #[snafu(display("cannot draw the report: {source}"))]
    ReportUndrawable {
        /// Why.
        source: galenahold_report::ReportError,
    },
    /// Standard output could not be written.
    #[snafu(display("cannot write to standard output: {source}"))]
    OutputUnwritable {
        /// What the system answered.
        source: io::Error,
    },
}

impl CommandError {
    /// Returns the status that the command exits with.
    pub(super) fn status(&self) -> status::ExitStatus {
        match self {
            Self::Call { source } => source.status(),
            Self::Settings { .. }
            | Self::OptionMissing { .. }
            | Self::FileUnreadable { .. }
            | Self::CredentialInvalid { .. }
            | Self::IntentInvalid { .. }
            | Self::ConfigurationInvalid { .. }
            | Self::ConfigurationRefused { .. } => status::ExitStatus::Invalid,
            Self::Serve { .. }
            | Self::Platform { .. }
            | Self::FileUnwritable { .. }
            | Self::DocumentUnwritable { .. }
            | Self::AnswerUnexpected { .. }
            | Self::ReportUndrawable { .. }
            | Self::OutputUnwritable { .. } => status::ExitStatus::Failed,
        }
    }

    /// Returns the error's kind, as JSON output names it.
    pub(super) fn kind(&self) -> &str {
        match self {
            Self::Call { source } => source.kind(),
            _ if self.status() == status::ExitStatus::Invalid => "not_valid",
            _ => "failed",
        }
    }
}
