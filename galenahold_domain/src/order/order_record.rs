//! What the ledger keeps of one order.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::name;
use crate::order;

/// The most owners of earlier attempts that a record keeps.
const MAX_EARLIER_OWNERS: usize = 16;

/// What the ledger keeps of one order: its latest attempt and how that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderRecord {
    /// The team, for its share of the ledger.
    pub(crate) team: name::TeamName,
    /// The request's digest.
    pub(crate) content: digest::ShortHash,
    /// The latest attempt.
    pub(crate) attempt: u32,
    /// Who owns the latest attempt.
    pub(crate) owner: order::OrderOwner,
    /// Who owned earlier attempts, none of which ran.
    pub(crate) earlier: Vec<order::OrderOwner>,
    /// How the latest attempt ended; none while it runs.
    pub(crate) end: Option<RecordEnd>,
}

/// How and when an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordEnd {
    /// How it ended.
    pub(crate) outcome: order::OrderOutcome,
    /// Milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}

impl OrderRecord {
    /// Starts the first attempt of an order.
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

    /// Starts the next attempt, after one that did not run.
    pub(crate) fn begin_next(&mut self, owner: order::OrderOwner) {
        let previous = mem::replace(&mut self.owner, owner);
        if self.earlier.len() == MAX_EARLIER_OWNERS {
            self.earlier.remove(0);
        }
        self.earlier.push(previous);
        self.attempt += 1;
        self.end = None;
    }

    /// Returns whether the owner has had an attempt of the order.
    pub(crate) fn had_owner(&self, owner: &order::OrderOwner) -> bool {
        self.owner == *owner || self.earlier.contains(owner)
    }

    /// Returns whether the latest attempt is under way.
    pub(crate) fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// Returns the bytes that the kept answer takes.
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
