//! Numbers that tell the starts of a server apart.

use std::sync::atomic;

use crate::ledger;

static STARTS: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Returns a number that rises with every start on this machine.
pub(crate) fn next_incarnation() -> u64 {
    let starts = STARTS.fetch_add(1, atomic::Ordering::Relaxed);
    ledger::unix_micros() + starts
}
