//! Applies the outcomes of orders, retries unanswered orders and takes over orders of earlier
//! leaders.

use std::time;

use galenahold_domain::{amount, placement};

use crate::engine;
use crate::engine::order_state::OrderState;
use crate::engine::placement_state::PlacementState;

/// Applies the outcome of an order. Outcomes of earlier orders for the same reservation are
/// ignored.
pub(super) fn apply(
    state: &mut PlacementState,
    id: placement::ReservationId,
    fence: amount::FencingNumber,
    outcome: engine::OrderOutcome,
    now: time::Instant,
) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let OrderState::Sent { at } = entry.order else {
        return;
    };
    if entry.reservation.fence != fence {
        return;
    }
    match entry.reservation.state {
        placement::ReservationState::Ordered => apply_load_outcome(state, id, outcome, at, now),
        placement::ReservationState::Unloading => apply_unload_outcome(state, id, outcome, now),
        placement::ReservationState::Loaded | placement::ReservationState::Draining => {}
    }
}

/// Applies a sender's statement that it never sent an order and never will.
pub(super) fn apply_never_sent(
    state: &mut PlacementState,
    id: placement::ReservationId,
    fence: amount::FencingNumber,
) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    if entry.order != OrderState::Inherited || entry.reservation.fence != fence {
        return;
    }
    if entry.is_in(placement::ReservationState::Ordered) {
        state.request_release(id);
    } else {
        take_over(state, id);
    }
}

/// Repeats orders without an answer, and takes over orders that no other instance can still send.
pub(super) fn retry_unsettled(state: &mut PlacementState, now: time::Instant) {
    let unsettled: Vec<_> = state.reservations.unsettled.iter().copied().collect();
    for id in unsettled {
        let Some(entry) = state.reservations.get(id) else {
            continue;
        };
        let due = match entry.order {
            OrderState::Inherited => may_take_over(state, entry),
            OrderState::Unknown { since } => now >= since + state.settings.order_retry,
            OrderState::Settled
            | OrderState::Sent { .. }
            | OrderState::AwaitingObservation { .. } => false,
        };
        if due {
            take_over(state, id);
        }
    }
}

fn apply_load_outcome(
    state: &mut PlacementState,
    id: placement::ReservationId,
    outcome: engine::OrderOutcome,
    sent_at: time::Instant,
    now: time::Instant,
) {
    match outcome {
        engine::OrderOutcome::Loaded => {
            record_load_time(state, id, now.saturating_duration_since(sent_at));
            state.set_order(id, OrderState::Settled);
            state.request_commit(id, engine::PlacementEffect::MarkLoaded { id });
        }
        engine::OrderOutcome::Unknown | engine::OrderOutcome::Unloaded => {
            mark_unconfirmed(state, id);
            state.set_order(id, OrderState::Unknown { since: now });
        }
        engine::OrderOutcome::Refused | engine::OrderOutcome::NotSent => {
            apply_refused_load(state, id, outcome, now);
        }
    }
}

/// Releases the memory of a refused load, unless an earlier order for the same reservation may have
/// been executed.
fn apply_refused_load(
    state: &mut PlacementState,
    id: placement::ReservationId,
    outcome: engine::OrderOutcome,
    now: time::Instant,
) {
    let unconfirmed = state
        .reservations
        .get(id)
        .is_some_and(|entry| entry.unconfirmed);
    if !unconfirmed {
        back_off(state, id, now);
        state.request_release(id);
        return;
    }
    let order = if outcome == engine::OrderOutcome::Refused {
        OrderState::AwaitingObservation { since: now }
    } else {
        OrderState::Unknown { since: now }
    };
    state.set_order(id, order);
}

fn apply_unload_outcome(
    state: &mut PlacementState,
    id: placement::ReservationId,
    outcome: engine::OrderOutcome,
    now: time::Instant,
) {
    if outcome == engine::OrderOutcome::Unloaded {
        state.request_release(id);
        return;
    }
    state.set_order(id, OrderState::Unknown { since: now });
}

/// Returns whether an order of an earlier leader may be repeated.
///
/// This is safe if the server rejects the old order by its fencing number, or if the sender's
/// incarnation has ended. By the end of the takeover wait, this process has ended the sends of its
/// own earlier leaderships.
fn may_take_over(
    state: &PlacementState,
    entry: &engine::reservation_entry::ReservationEntry,
) -> bool {
    let Some(server) = state.servers.get(entry.server) else {
        return false;
    };
    let observed = server.announced.is_some();
    let same_incarnation = server.incarnation == entry.reservation.incarnation;
    let first_live_incarnation = state.first_live_incarnations.get(&entry.reservation.sender);
    let ended =
        first_live_incarnation.is_some_and(|from| entry.reservation.sender_incarnation < *from);
    let sent_here = entry.reservation.sender == state.settings.instance
        && entry.reservation.sender_incarnation == state.settings.incarnation;
    observed && same_incarnation && (server.checks_fencing() || ended || sent_here)
}

fn take_over(state: &mut PlacementState, id: placement::ReservationId) {
    mark_unconfirmed(state, id);
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let effect = engine::PlacementEffect::TakeOver {
        id,
        state: entry.reservation.state,
    };
    state.request_commit(id, effect);
}

/// Records that an unanswered order may have been executed, or may still be.
fn mark_unconfirmed(state: &mut PlacementState, id: placement::ReservationId) {
    if let Some(entry) = state.reservations.get_mut(id) {
        entry.unconfirmed = true;
    }
}

fn back_off(state: &mut PlacementState, id: placement::ReservationId, now: time::Instant) {
    let pause = state.settings.order_retry;
    if let Some(entry) = state.reservations.get(id) {
        state.servers.update(entry.server, |server| {
            server.backoff_until = Some(now + pause);
        });
    }
}

fn record_load_time(
    state: &mut PlacementState,
    id: placement::ReservationId,
    elapsed: time::Duration,
) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let is_adapter = entry.reservation.artifact.adapter.is_some();
    if !is_adapter && !entry.unconfirmed {
        state
            .load_time
            .record(entry.tier, entry.reservation.bytes, elapsed);
    }
}
