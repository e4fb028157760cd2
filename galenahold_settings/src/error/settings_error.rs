//! Why settings could not be taken from a file.

use std::io;
use std::iter;
use std::path;

use snafu::Snafu;

use crate::error;

/// Why settings could not be taken from a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read settings from {}: {source}; check the path and its permissions", file.display()))]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// The file was read and has problems.
    #[snafu(display("{}", problem_lines(file, problems)))]
    Invalid {
        /// The file's name.
        file: String,
        /// All problems, in the order of the file.
        problems: Vec<error::SettingsProblem>,
    },
}

impl SettingsError {
    /// Returns the error's kind.
    #[must_use]
    pub fn kind(&self) -> error::SettingsErrorKind {
        match self {
            Self::Unreadable { .. } => error::SettingsErrorKind::Unreadable,
            Self::Invalid { .. } => error::SettingsErrorKind::Invalid,
        }
    }

    /// Returns the problems of the file, in its order; none where it could not be read.
    #[must_use]
    pub fn problems(&self) -> &[error::SettingsProblem] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { problems, .. } => problems,
        }
    }
}

fn problem_lines(file: &str, problems: &[error::SettingsProblem]) -> String {
    let noun = if problems.len() == 1 {
        "problem"
    } else {
        "problems"
    };
    let title = format!("{} {noun} in settings {file}", problems.len());
    let lines = problems
        .iter()
        .map(|problem| format!("{file}:{}: {problem}", problem.position));
    iter::once(title)
        .chain(lines)
        .collect::<Vec<_>>()
        .join("\n")
}
