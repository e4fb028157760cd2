//! Costs of loads and unloads, and which engines may get orders. The choice of needs and that of engines
//! both depend on them.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Value of a further copy of a model as a share of the value of the first.
pub(super) const FURTHER_COPY_SHARE: f64 = 0.3;

/// Cost of each running request in the unload cost of a model, since the unload waits for running
/// requests to end.
const RUNNING_COST: f64 = 0.4;

/// Returns whether an engine may get orders and requests.
pub(super) fn is_usable(record: &domain::ServerRecord) -> bool {
    record.is_open() && !record.silent && !record.leaves_soon
}

/// Returns how long an engine takes to load a model, and whether it needs the weight store.
pub(super) fn load_time(
    model: &declaration::DeclaredModel,
    record: &domain::ServerRecord,
) -> (time::Duration, bool) {
    if record.copies.are_in_memory(&model.name) {
        (model.memory_load, false)
    } else if record.copies.are_on_disk(&model.name) {
        (model.disk_load, false)
    } else {
        (model.store_load, true)
    }
}

/// Returns the number of copies that share the requests for a model, at least one.
pub(super) fn copies_of(standing: &fleet::ModelStanding) -> f64 {
    f64::from(u32::try_from(standing.held.max(1)).unwrap_or(u32::MAX))
}

/// Returns the cost of unloading one copy of a model now.
pub(super) fn unload_cost(round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
    let standing = round.standing(model);
    let copies = copies_of(&standing);
    let value = if standing.held > 1 {
        standing.value * FURTHER_COPY_SHARE / copies
    } else {
        standing.value
    };
    value + f64::from(standing.running) / copies * RUNNING_COST
}
