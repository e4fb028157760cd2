//! Why a call of the operators' face came to nothing.

use snafu::Snafu;

use crate::document;
use crate::status;

/// Why a call of the operators' face came to nothing.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The fleet refused the call.
    #[snafu(display("{path} was refused with status {status}\n  {}", document.lines().join("\n  ")))]
    Refused {
        /// The path.
        path: &'static str,
        /// The HTTP status.
        status: u16,
        /// The refusal.
        document: Box<document::RefusalDocument>,
    },
    /// The call was sent and no answer came.
    #[snafu(display(
        "no answer to {path}: it may have been applied ({attempts})\n  {}",
        repeat_advice(repeat_options.as_deref())
    ))]
    OutcomeUnknown {
        /// The path.
        path: &'static str,
        /// What each attempt came to.
        attempts: String,
        /// The options that repeat the call under its request id, where it carries one.
        repeat_options: Option<String>,
    },
    /// No operators' face with a leader behind it could be reached.
    #[snafu(display(
        "cannot reach the control group for {path}: nothing was changed ({attempts})\n  \
         check --operators and the instances' readiness, then repeat the command"
    ))]
    Unreachable {
        /// The path.
        path: &'static str,
        /// What each attempt came to.
        attempts: String,
    },
}

impl CallError {
    /// Returns the status that the command exits with.
    pub(crate) fn status(&self) -> status::ExitStatus {
        match self {
            Self::Refused { .. } => status::ExitStatus::Refused,
            Self::OutcomeUnknown { .. } => status::ExitStatus::OutcomeUnknown,
            Self::Unreachable { .. } => status::ExitStatus::Unreachable,
        }
    }

    /// Returns the error's kind, as JSON output names it.
    pub(crate) fn kind(&self) -> &str {
        match self {
            Self::Refused { document, .. } => document.kind(),
            Self::OutcomeUnknown { .. } => "outcome_unknown",
            Self::Unreachable { .. } => "unreachable",
        }
    }
}

fn repeat_advice(repeat_options: Option<&str>) -> String {
    match repeat_options {
        Some(options) => {
            format!("repeat the command with {options}: it is applied once and answers the same")
        }
        None => String::from("look at the state before you repeat the command"),
    }
}
