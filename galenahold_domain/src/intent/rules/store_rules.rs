//! Validation rules for the weight store's limits.

use crate::intent;
use crate::intent::rules;

/// Adds the problems of the weight store's limits.
pub(crate) fn check_store(problems: &mut rules::ProblemList, store: &intent::StoreLimits) {
    problems.check_nonzero("store.loads_per_second", store.loads_per_second.into());
    problems.check_nonzero("store.loads_in_flight", store.loads_in_flight.into());
    problems.check_nonzero("store.adapters_in_flight", store.adapters_in_flight.into());
}
