//! The document of a refusal.

use galenahold_domain::control;
use galenahold_domain::verdict;
use serde::Deserialize;

use crate::document;

/// The document of a refusal or an error, as the operators' face sends it.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct RefusalDocument {
    /// What kind of error it is.
    #[serde(default)]
    pub(crate) error: Option<document::RefusalBody>,
    /// Who moved the configuration on, where a plan's base is not in force any more.
    #[serde(default)]
    pub(crate) conflict: Option<control::PlanConflict>,
    /// Why the request is not valid.
    #[serde(default)]
    pub(crate) reasons: Vec<String>,
}

impl RefusalDocument {
    /// Tells whether the document says that nothing was changed.
    pub(crate) fn says_not_applied(&self) -> bool {
        const NO_LEADER: &str = "no_leader";
        self.error.as_ref().is_some_and(|error| {
            error.kind == NO_LEADER || error.verdict == Some(verdict::RequestVerdict::NotRun)
        })
    }

    /// Returns the kind of the error, or a word for a document without one.
    pub(crate) fn kind(&self) -> &str {
        match (&self.error, &self.conflict) {
            (Some(error), _) => &error.kind,
            (None, Some(_)) => "conflict",
            (None, None) if !self.reasons.is_empty() => "not_valid",
            (None, None) => "refused",
        }
    }

    /// Returns what was wrong, in lines for people.
    pub(crate) fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(error) = &self.error {
            lines.push(format!("{}: {}", error.kind, error.message));
        }
        if let Some(conflict) = &self.conflict {
            lines.extend(conflict_lines(conflict));
        }
        lines.extend(self.reasons.iter().cloned());
        lines
    }
}

fn conflict_lines(conflict: &control::PlanConflict) -> Vec<String> {
    let mut lines = vec![
        format!(
            "the plan was made against revision {}, and revision {} is in force",
            conflict.base, conflict.current
        ),
        format!("made by operator {}:", conflict.operator),
    ];
    lines.extend(conflict.summary.iter().map(|step| format!("  {step}")));
    lines.push(String::from(
        "make a new plan with `galenahold plan` and confirm that one",
    ));
    lines
}
