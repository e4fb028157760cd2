//! The list to which the validation rules add problems.

use std::fmt;

use crate::intent;

/// The maximum number of characters of an invalid text that a problem quotes.
const MAX_QUOTED_CHARACTERS: usize = 128;

const AT_LEAST_ONE: &str = "must be 1 or more";

/// The problems of an intent, in the order in which the rules find them.
#[derive(Debug, Default)]
pub(crate) struct ProblemList {
    problems: Vec<intent::IntentProblem>,
}

impl ProblemList {
    /// Adds a problem.
    pub(crate) fn push(&mut self, field: &str, value: impl fmt::Display, requirement: &str) {
        self.problems.push(intent::IntentProblem {
            field: field.to_owned(),
            value: value.to_string(),
            requirement: requirement.to_owned(),
        });
    }

    /// Adds a problem with a name or another text, which is shortened and escaped.
    pub(crate) fn push_text(&mut self, field: &str, text: &str, requirement: &str) {
        let quoted: String = text.chars().take(MAX_QUOTED_CHARACTERS).collect();
        self.push(field, format!("`{}`", quoted.escape_default()), requirement);
    }

    /// Adds a problem if the amount is zero.
    pub(crate) fn check_nonzero(&mut self, field: &str, value: u64) {
        if value == 0 {
            self.push(field, value, AT_LEAST_ONE);
        }
    }

    /// Returns the problems.
    pub(crate) fn into_problems(self) -> Vec<intent::IntentProblem> {
        self.problems
    }
}
