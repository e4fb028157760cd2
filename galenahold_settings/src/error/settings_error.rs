//! The error returned when settings cannot be loaded.

use std::io;
use std::iter;
use std::path;

use snafu::Snafu;

use crate::error;

/// The error returned when settings cannot be loaded from a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read settings from {}: {source}; check the path and its permissions", file.display()))]
    Unreadable {
        /// The path of the file.
        file: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file was read but is not valid.
    #[snafu(display("{}", problem_lines(file, problems)))]
    Invalid {
        /// The file name used in messages.
        file: String,
        /// All problems, in the order of their positions in the file.
        problems: Vec<error::SettingsProblem>,
    },
}

impl SettingsError {
    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> error::SettingsErrorKind {
        match self {
            Self::Unreadable { .. } => error::SettingsErrorKind::Unreadable,
            Self::Invalid { .. } => error::SettingsErrorKind::Invalid,
        }
    }

    /// Returns the problems in the order of their positions; empty if the file could not be read.
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
