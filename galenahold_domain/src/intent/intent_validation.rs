//! All faults of an intent.

use crate::amount;
use crate::intent;
use crate::intent::rules;

/// All faults of an intent, each with the path of its field.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IntentValidation {
    problems: Vec<intent::IntentProblem>,
}

impl IntentValidation {
    /// Collects the faults of an intent.
    ///
    /// `largest_engine` is the greatest memory of a model engine, where one is known: each model
    /// with its largest adapter must fit into it. The replicated state does not know it.
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

    /// Returns whether there is no fault.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the faults: of teams, models, adapters, services and the weight store.
    #[must_use]
    pub fn problems(&self) -> &[intent::IntentProblem] {
        &self.problems
    }

    /// Returns a line a fault.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.problems.iter().map(ToString::to_string).collect()
    }
}
