//! The ledger's record of an order.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::name;
use crate::order;

/// The maximum number of owners of earlier attempts in a record.
const MAX_EARLIER_OWNERS: usize = 16;

/// The ledger's record of one order: its latest attempt and that attempt's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderRecord {
    /// The team, whose use of the ledger is limited.
    pub(crate) team: name::TeamName,
    /// A hash of the request's digest.
    pub(crate) content: digest::ShortHash,
    /// The number of the latest attempt.
    pub(crate) attempt: u32,
    /// The owner of the latest attempt.
    pub(crate) owner: order::OrderOwner,
    /// The owners of earlier attempts, none of which ran.
    pub(crate) earlier: Vec<order::OrderOwner>,
    /// The end of the latest attempt; `None` while it runs.
    pub(crate) end: Option<RecordEnd>,
}

/// The outcome and the time of an attempt's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordEnd {
    /// The outcome of the attempt.
    pub(crate) outcome: order::OrderOutcome,
    /// The time of the end, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}

impl OrderRecord {
    /// Creates the record of an order's first attempt.
    pub(crate) fn begin(
        team: name::TeamName,
        content: digest::ShortHash,
        owner: order::OrderOwner,
        attempt: u32,
    ) -> Self {
        Self {
            team,
            content,
            attempt,
            owner,
            earlier: Vec::new(),
            end: None,
        }
    }

    /// Starts the next attempt after one that did not run.
    pub(crate) fn begin_next(&mut self, owner: order::OrderOwner) {
        let previous = mem::replace(&mut self.owner, owner);
        if self.earlier.len() == MAX_EARLIER_OWNERS {
            self.earlier.remove(0);
        }
        self.earlier.push(previous);
        self.attempt += 1;
        self.end = None;
    }

    /// Returns whether the owner has or had an attempt of the order.
    pub(crate) fn had_owner(&self, owner: &order::OrderOwner) -> bool {
        self.owner == *owner || self.earlier.contains(owner)
    }

    /// Returns whether the latest attempt is running.
    pub(crate) fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// Returns the number of bytes that the kept answer takes.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.end {
            Some(RecordEnd {
                outcome: order::OrderOutcome::Answered(answer),
                ..
            }) => answer.kept_bytes(),
            _ => 0,
        }
    }
}
