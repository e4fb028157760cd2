//! Costs of loads and unloads, and which engines may get orders. The choice of needs and that of engines
//! both depend on them.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;

use crate::fleet;

/// Value of a further copy of a model as a share of the value of the first.
pub(super) const FURTHER_COPY_SHARE: f64 = 0.3;

/// Requests per second per copy of a model, at an engine of mean speed, above which another copy
/// justifies its memory. An engine processes prompts between the tokens of its runs, and three long prompts in a row cause a pause
/// that callers notice.
pub(super) const RATE_PER_COPY: f64 = 4.5;

/// Value of the second copy of a popular model as a share of the value of the first: it carries half of
/// the requests, and all of them when the first is lost.
pub(super) const SECOND_COPY_SHARE: f64 = 0.5;

/// Cost of each running request in the unload cost of a model, since the unload waits for running
/// requests to end.
const RUNNING_COST: f64 = 0.4;

/// Expected time of an unload at an engine where the model has no runs.
const IDLE_UNLOAD: time::Duration = time::Duration::from_millis(60);

/// Time limit of an unload, which waits for runs of the model to end.
pub(super) const MAX_UNLOAD: time::Duration = time::Duration::from_secs(12);

/// Request rate per second from which a model is popular: further calls are sure to come, whether or not
/// those that wait now can be served.
pub(super) const POPULAR_RATE: f64 = 2.0;

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
pub(super) fn unload_cost(standing: &fleet::ModelStanding) -> f64 {
    let copies = copies_of(standing);
    // A copy that would be needed again at once is worth as much as its load.
    let rest = standing.capacity * (1.0 - 1.0 / copies);
    let excess = (standing.rate - rest * RATE_PER_COPY).max(0.0);
    let value = match standing.held {
        0 | 1 => standing.value,
        2 if standing.rate >= POPULAR_RATE => (standing.value * SECOND_COPY_SHARE).max(excess),
        _ => (standing.value * FURTHER_COPY_SHARE / copies).max(excess),
    };
    value + f64::from(standing.running) / copies * RUNNING_COST
}

/// Returns how long the unload of one copy of a model takes, which waits for its runs to end.
///
/// The longest of n runs with exponentially distributed durations takes about 1 + ln n times their mean.
pub(super) fn unload_time(
    standing: &fleet::ModelStanding,
    run_time: time::Duration,
) -> time::Duration {
    let runs = f64::from(standing.running) / copies_of(standing);
    let factor = if runs > 1.0 { 1.0 + runs.ln() } else { runs };
    (IDLE_UNLOAD + run_time.mul_f64(factor)).min(MAX_UNLOAD)
}
