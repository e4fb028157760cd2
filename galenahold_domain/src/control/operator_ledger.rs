//! Deduplicates the requests of operators.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::control;
use crate::digest;

const HOUR_MS: u64 = 3_600_000;
const RETENTION_MS: u64 = 24 * HOUR_MS;
const MAX_ENTRIES: usize = 10_000;

/// The maximum total size of the texts in the kept outcomes.
const MAX_TEXT_BYTES: usize = 8_388_608;

/// The requests of operators with their outcomes, so that a resent request gets its first outcome.
///
/// An entry is kept for 24 hours unless 10,000 later entries, or 8 MiB of outcome texts, displace
/// it. A later resend is evaluated again, but cannot take effect twice: the base of a plan is
/// outdated once the plan was applied, and the public part of a key is given once and withdrawn
/// once (see [`control::WithdrawnKeys`]).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "LedgerDocument")]
pub(crate) struct OperatorLedger {
    entries: collections::VecDeque<OperatorEntry>,
    #[serde(skip)]
    text_bytes: usize,
    #[serde(skip)]
    dropped: u64,
    #[serde(skip)]
    positions: collections::BTreeMap<control::OperatorRequest, EntryPosition>,
}

/// The stored fields of the ledger, from which its index is rebuilt.
#[derive(Deserialize)]
struct LedgerDocument {
    entries: collections::VecDeque<OperatorEntry>,
}

/// One request with its outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct OperatorEntry {
    request: control::OperatorRequest,
    content: digest::ShortHash,
    outcome: control::ControlOutcome,
    at_ms: u64,
}

/// The number of an entry, counted from the first entry ever added.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EntryPosition(u64);

impl From<LedgerDocument> for OperatorLedger {
    fn from(document: LedgerDocument) -> Self {
        let mut ledger = Self::default();
        for entry in document.entries {
            ledger.push(entry);
        }
        ledger
    }
}

impl OperatorLedger {
    /// Returns the recorded outcome of the request, if it is still kept.
    ///
    /// Returns [`control::ControlOutcome::RequestReused`] if the number belongs to a request with
    /// other content.
    pub(crate) fn recorded_outcome(
        &self,
        request: &control::OperatorRequest,
        content: digest::ShortHash,
    ) -> Option<control::ControlOutcome> {
        let position = self.positions.get(request)?;
        let offset = usize::try_from(position.0 - self.dropped).ok()?;
        let entry = self.entries.get(offset)?;
        if entry.content != content {
            return Some(control::ControlOutcome::RequestReused);
        }
        Some(entry.outcome.clone())
    }

    /// Records the outcome of a request, and drops entries that are too old or beyond the limits.
    pub(crate) fn record(
        &mut self,
        request: &control::OperatorRequest,
        content: digest::ShortHash,
        outcome: &control::ControlOutcome,
        now_ms: u64,
    ) {
        self.push(OperatorEntry {
            request: request.clone(),
            content,
            outcome: outcome.clone(),
            at_ms: now_ms,
        });
        self.drop_expired(now_ms);
    }

    fn push(&mut self, entry: OperatorEntry) {
        let position = EntryPosition(self.dropped + self.entries.len() as u64);
        self.positions.insert(entry.request.clone(), position);
        self.text_bytes += entry.outcome.text_bytes();
        self.entries.push_back(entry);
    }

    fn drop_expired(&mut self, now_ms: u64) {
        while let Some(oldest) = self.entries.front() {
            let is_expired = oldest.at_ms.saturating_add(RETENTION_MS) <= now_ms;
            let is_within_limits =
                self.entries.len() <= MAX_ENTRIES && self.text_bytes <= MAX_TEXT_BYTES;
            if !is_expired && is_within_limits {
                return;
            }
            self.positions.remove(&oldest.request);
            self.text_bytes -= oldest.outcome.text_bytes();
            self.entries.pop_front();
            self.dropped += 1;
        }
    }
}
