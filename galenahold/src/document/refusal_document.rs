//! The document of a refusal.

use galenahold_domain::verdict;
use serde::Deserialize;

use crate::document;

/// The kind of an error where no leader of the control group could be reached.
const NO_LEADER: &str = "no_leader";
/// The kind of an error where the control group cannot do what was asked now.
const REFUSED: &str = "refused";

/// The document of a refusal or an error, as the operators' face sends it.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct RefusalDocument {
    /// The error; nothing where the answer was not such a document.
    #[serde(default)]
    pub(crate) error: Option<document::RefusalBody>,
}

impl RefusalDocument {
    /// Tells whether the document says that nothing was changed, and that another instance may do it.
    pub(crate) fn says_not_applied(&self) -> bool {
        self.error.as_ref().is_some_and(|error| {
            error.kind == NO_LEADER || error.verdict == Some(verdict::RequestVerdict::NotRun)
        })
    }

    /// Tells whether the document says that the control group itself refused.
    pub(crate) fn says_refused(&self) -> bool {
        self.kind() == REFUSED
    }

    /// Returns the kind of the error, or a word for an answer without one.
    pub(crate) fn kind(&self) -> &str {
        self.error
            .as_ref()
            .map_or("unexplained", |error| &error.kind)
    }

    /// Returns what was wrong, in lines for people.
    pub(crate) fn lines(&self) -> Vec<String> {
        let Some(error) = &self.error else {
            return vec![String::from("the answer does not say why")];
        };
        let details = error.details.as_ref().map(document::RefusalDetails::lines);
        match details {
            Some(lines) if !lines.is_empty() => lines,
            _ => vec![format!("{}: {}", error.kind, error.message)],
        }
    }
}
