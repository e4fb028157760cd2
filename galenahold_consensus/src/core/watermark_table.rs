//! [`WatermarkTable`].

use std::collections;

use crate::log;
use crate::member;
use crate::message;

/// The marks of all members, by which an older copy of a data folder is found out.
#[derive(Debug, Clone, Default)]
pub struct WatermarkTable {
    marks: collections::BTreeMap<member::MemberId, message::MemberWatermark>,
}

impl WatermarkTable {
    /// Makes a table from stored marks.
    #[must_use]
    pub fn new(marks: Vec<message::MemberWatermark>) -> Self {
        let mut table = Self::default();
        for mark in marks {
            table.merge(mark);
        }
        table
    }

    /// Iterates over the marks.
    pub fn iter(&self) -> impl Iterator<Item = &message::MemberWatermark> {
        self.marks.values()
    }

    /// Takes in a message's sender; false if the sender's data folder is an older copy, or if the
    /// message is a late one of an earlier process.
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
        let Some(mark) = self.marks.get_mut(&message.from) else {
            self.marks.insert(message.from, seen);
            return true;
        };
        if mark.incarnation != message.incarnation {
            if message.boot <= mark.boot || falls_short(message, mark) {
                return false;
            }
            mark.boot = message.boot;
            mark.incarnation = message.incarnation;
        }
        raise_term(mark, message.term);
        true
    }

    /// Notes what a member has acknowledged to the leader of a term.
    pub fn acknowledge(
        &mut self,
        member: member::MemberId,
        acknowledged: log::LogPosition,
        commit: log::LogIndex,
    ) {
        let Some(mark) = self.marks.get_mut(&member) else {
            return;
        };
        raise_term(mark, acknowledged.term);
        if mark.term == acknowledged.term {
            mark.matched = mark.matched.max(acknowledged.index);
        }
        mark.committed = mark.committed.max(acknowledged.index.min(commit));
    }

    /// Takes in a mark that another member has collected.
    pub fn merge(&mut self, other: message::MemberWatermark) {
        let Some(mark) = self.marks.get_mut(&other.member) else {
            self.marks.insert(other.member, other);
            return;
        };
        if other.boot > mark.boot {
            mark.boot = other.boot;
            mark.incarnation = other.incarnation;
        }
        raise_term(mark, other.term);
        if mark.term == other.term {
            mark.matched = mark.matched.max(other.matched);
        }
        mark.committed = mark.committed.max(other.committed);
    }
}

fn falls_short(message: &message::ConsensusMessage, mark: &message::MemberWatermark) -> bool {
    let forgot_term = message.term < mark.term;
    let forgot_match = message.term == mark.term && message.durable < mark.matched;
    forgot_term || forgot_match || message.durable < mark.committed
}

fn raise_term(mark: &mut message::MemberWatermark, term: log::Term) {
    if term > mark.term {
        mark.term = term;
        mark.matched = log::LogIndex::ZERO;
    }
}
