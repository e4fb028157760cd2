//! What belongs to an error's kind.

use galenahold_domain::control;
use serde::Deserialize;

/// What belongs to an error's kind.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum RefusalDetails {
    /// Who moved the configuration on, where a plan's base is not in force any more.
    Conflict(control::PlanConflict),
    /// Why the request is not valid.
    Reasons {
        /// The reasons.
        reasons: Vec<String>,
    },
    /// Details that this version does not know.
    Other(serde::de::IgnoredAny),
}

impl RefusalDetails {
    /// Returns the details in lines for people.
    pub(super) fn lines(&self) -> Vec<String> {
        match self {
            Self::Conflict(conflict) => conflict_lines(conflict),
            Self::Reasons { reasons } => reasons.clone(),
            Self::Other(_) => Vec::new(),
        }
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
