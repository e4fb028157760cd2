//! Detection of data folders that were restored from an older copy.

use std::collections;

use crate::log;
use crate::member;
use crate::message;

/// The watermarks of all members.
///
/// A member that restarts with less durable state than its watermark runs on an older copy of its
/// data folder.
#[derive(Debug, Clone, Default)]
pub struct WatermarkTable {
    watermarks: collections::BTreeMap<member::MemberId, message::MemberWatermark>,
}

impl WatermarkTable {
    /// Creates a table from stored watermarks.
    #[must_use]
    pub fn new(watermarks: Vec<message::MemberWatermark>) -> Self {
        let mut table = Self::default();
        for watermark in watermarks {
            table.merge(watermark);
        }
        table
    }

    /// Returns whether the ID is that of a member that has sent messages to the group.
    #[must_use]
    pub fn contains(&self, id: member::MemberId) -> bool {
        self.watermarks.contains_key(&id)
    }

    /// Iterates over the watermarks.
    pub fn iter(&self) -> impl Iterator<Item = &message::MemberWatermark> {
        self.watermarks.values()
    }

    /// Records the process and term of a message's sender.
    ///
    /// Returns false if the sender's data folder is an older copy, or if an earlier process of the
    /// member sent the message.
    #[must_use]
    pub fn admit(&mut self, message: &message::ConsensusMessage) -> bool {
        let seen = message::MemberWatermark {
            member: message.from,
            boot: message.boot,
            incarnation: message.incarnation,
            term: message.term,
            matched: log::LogIndex::ZERO,
            committed: log::LogIndex::ZERO,
        };
        let Some(watermark) = self.watermarks.get_mut(&message.from) else {
            self.watermarks.insert(message.from, seen);
            return true;
        };
        if watermark.incarnation != message.incarnation {
            if message.boot <= watermark.boot || is_behind(message, watermark) {
                return false;
            }
            watermark.boot = message.boot;
            watermark.incarnation = message.incarnation;
        }
        raise_term(watermark, message.term);
        true
    }

    /// Records that a member acknowledged entries to the leader of a term.
    pub fn acknowledge(
        &mut self,
        member: member::MemberId,
        acknowledged: log::LogPosition,
        commit: log::LogIndex,
    ) {
        let Some(watermark) = self.watermarks.get_mut(&member) else {
            return;
        };
        raise_term(watermark, acknowledged.term);
        if watermark.term == acknowledged.term {
            watermark.matched = watermark.matched.max(acknowledged.index);
        }
        watermark.committed = watermark.committed.max(acknowledged.index.min(commit));
    }

    /// Merges a watermark that another member has collected.
    pub fn merge(&mut self, other: message::MemberWatermark) {
        let Some(watermark) = self.watermarks.get_mut(&other.member) else {
            self.watermarks.insert(other.member, other);
            return;
        };
        if other.boot > watermark.boot {
            watermark.boot = other.boot;
            watermark.incarnation = other.incarnation;
        }
        raise_term(watermark, other.term);
        if watermark.term == other.term {
            watermark.matched = watermark.matched.max(other.matched);
        }
        watermark.committed = watermark.committed.max(other.committed);
    }
}

fn is_behind(message: &message::ConsensusMessage, watermark: &message::MemberWatermark) -> bool {
    let lost_term = message.term < watermark.term;
    let lost_entries = message.term == watermark.term && message.durable < watermark.matched;
    lost_term || lost_entries || message.durable < watermark.committed
}

fn raise_term(watermark: &mut message::MemberWatermark, term: log::Term) {
    if term > watermark.term {
        watermark.term = term;
        watermark.matched = log::LogIndex::ZERO;
    }
}
