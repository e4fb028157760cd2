//! Rules for the weight store's limits.

use crate::intent;
use crate::intent::rules;

/// Adds the faults of the weight store's limits.
pub(crate) fn check_store(problems: &mut rules::ProblemList, store: &intent::StoreLimits) {
    problems.refuse_zero("store.loads_per_second", store.loads_per_second.into());
    problems.refuse_zero("store.loads_in_flight", store.loads_in_flight.into());
    problems.refuse_zero("store.adapters_in_flight", store.adapters_in_flight.into());
}
