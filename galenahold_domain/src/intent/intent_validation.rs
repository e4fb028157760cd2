//! Validation of an intent against all rules.

use crate::amount;
use crate::intent;
use crate::intent::rules;

/// The result of validating an intent: all problems, each with the path of its field.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IntentValidation {
    problems: Vec<intent::IntentProblem>,
}

impl IntentValidation {
    /// Validates an intent.
    ///
    /// `largest_engine` is the memory of the largest model engine, if it is known: each model with
    /// its largest adapter must fit into it. The replicated state does not know it and passes
    /// `None`.
    #[must_use]
    pub fn of(wanted: &intent::FleetIntent, largest_engine: Option<amount::ByteCount>) -> Self {
        let mut problems = rules::ProblemList::default();
        rules::check_teams(&mut problems, wanted);
        rules::check_models(&mut problems, wanted, largest_engine);
        rules::check_services(&mut problems, wanted);
        rules::check_store(&mut problems, &wanted.store);
        Self {
            problems: problems.into_problems(),
        }
    }

    /// Returns whether the intent has no problems.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the problems of teams, models, adapters, services and the weight store, in this
    /// order.
    #[must_use]
    pub fn problems(&self) -> &[intent::IntentProblem] {
        &self.problems
    }

    /// Returns one line for each problem.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.problems.iter().map(ToString::to_string).collect()
    }
}
