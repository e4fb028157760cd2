//! The ledger's record of one holder.

use std::collections;
use std::time;

use galenahold_domain::amount;

/// Maximum number of calls of a holder whose steps are kept.
const MAX_CALLS: usize = 4_096;

/// Maximum number of written-off grants that are kept for each holder.
const MAX_WRITTEN_OFF: usize = 1_024;

/// A grant with tokens that may still be spent.
#[derive(Debug)]
pub(super) struct OpenGrant {
    pub(super) number: u64,
    /// Tokens that are not yet stated as spent or returned.
    pub(super) remaining: u64,
    /// Tokens that are stated as spent.
    pub(super) spent: u64,
    pub(super) write_off_at: time::Instant,
}

/// The ledger's record of one holder of a team's tokens: its open grants and the totals of its calls.
#[derive(Debug)]
pub(super) struct HolderAccount {
    pub(super) incarnation: amount::IncarnationNumber,
    pub(super) last_call: u64,
    pub(super) open: Vec<OpenGrant>,
    pub(super) last_refund: u64,
    pub(super) overdrawn_total: u64,
    pub(super) served_total: u64,
    /// Refunds of tokens that were stated as spent in an earlier call than this one are not credited.
    first_creditable_call: u64,
    /// Grants that were written off; refunds of their tokens are not credited.
    written_off: collections::BTreeSet<u64>,
    calls: collections::VecDeque<CallStep>,
}

/// A call with the step of the bucket's history that follows it.
#[derive(Debug)]
struct CallStep {
    number: u64,
    step: u64,
}

impl HolderAccount {
    /// Returns the account of a holder at its first call to this leader.
    pub(super) fn new(
        incarnation: amount::IncarnationNumber,
        call: u64,
        overdrawn_total: u64,
        served_total: u64,
    ) -> Self {
        Self {
            incarnation,
            last_call: 0,
            open: Vec::new(),
            last_refund: 0,
            overdrawn_total,
            served_total,
            first_creditable_call: call,
            written_off: collections::BTreeSet::new(),
            calls: collections::VecDeque::new(),
        }
    }

    /// Records a call after its statements were applied to the bucket.
    pub(super) fn record_call(&mut self, number: u64, step: u64) {
        self.last_call = number;
        self.calls.push_back(CallStep { number, step });
        if self.calls.len() > MAX_CALLS {
            self.calls.pop_front();
            let first = self.calls.front().map_or(number, |call| call.number);
            self.first_creditable_call = self.first_creditable_call.max(first);
        }
        if self.written_off.len() > MAX_WRITTEN_OFF {
            self.written_off.clear();
            self.first_creditable_call = number + 1;
        }
    }

    /// Closes the open grants that have expired by `at` and returns their tokens, which count as spent.
    pub(super) fn write_off(&mut self, at: time::Instant) -> u64 {
        let mut tokens = 0;
        let written_off = &mut self.written_off;
        self.open.retain(|grant| {
            let open = grant.write_off_at > at;
            if !open {
                tokens += grant.remaining;
                written_off.insert(grant.number);
            }
            open
        });
        tokens
    }

    /// Returns the step of the history that follows the call that first stated tokens of a grant as
    /// spent, or `None` if refunds of these tokens are not credited.
    pub(super) fn statement_step(&self, grant: u64, number: u64) -> Option<u64> {
        if number < self.first_creditable_call || self.written_off.contains(&grant) {
            return None;
        }
        let first = self.calls.partition_point(|call| call.number < number);
        self.calls.get(first).map(|call| call.step)
    }
}
