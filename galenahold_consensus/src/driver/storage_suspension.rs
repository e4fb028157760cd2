//! State of a member whose data folder does not accept writes.

use std::sync;

use crate::core;
use crate::driver;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

/// What a member knows while it takes no part in the group because a write has failed.
#[derive(Debug)]
pub(super) struct StorageSuspension {
    /// The last error of the data folder.
    pub(super) reason: sync::Arc<str>,
    pub(super) began_at: core::MonotonicTime,
    pub(super) retry_at: core::MonotonicTime,
    /// The status right before the suspension, without what only a participating member knows.
    status: driver::LogStatus,
    /// The term of the last message from a leader.
    leader_term: log::Term,
}

impl StorageSuspension {
    pub(super) fn new(
        error: &storage::StorageError,
        mut status: driver::LogStatus,
        now: core::MonotonicTime,
        retry_at: core::MonotonicTime,
    ) -> Self {
        let own_id = status.profile.id;
        status.leader.take_if(|leader| leader.id == own_id);
        let leader_term = match status.leader {
            Some(_) => status.term,
            None => log::Term::ZERO,
        };
        if status.cluster.is_some() {
            status.role = core::NodeRole::Follower;
        }
        status.ready = false;
        status.lease = None;
        status.safe_to_lose = None;
        for report in &mut status.members {
            report.matched = None;
            report.lag_entries = None;
            report.silence = None;
            report.heard = false;
            report.leaving = false;
        }
        Self {
            reason: error.to_string().into(),
            began_at: now,
            retry_at,
            status,
            leader_term,
        }
    }

    /// Notes the sender of a leader's message, to which callers are referred.
    pub(super) fn observe(&mut self, message: &message::ConsensusMessage) {
        let from_leader = matches!(
            message.body,
            message::MessageBody::AppendRequest(_)
                | message::MessageBody::Heartbeat { .. }
                | message::MessageBody::SnapshotChunk(_)
        );
        let addressed =
            message.to == Some(self.status.profile.id) && message.cluster == self.status.cluster;
        if from_leader && addressed && message.term >= self.leader_term {
            self.leader_term = message.term;
            self.status.term = self.status.term.max(message.term);
            self.status.leader = Some(member::MemberProfile {
                id: message.from,
                endpoint: message.from_endpoint.clone(),
            });
        }
    }

    pub(super) fn status(&self) -> driver::LogStatus {
        let mut status = self.status.clone();
        status.suspension = Some(sync::Arc::clone(&self.reason));
        status
    }

    pub(super) fn term(&self) -> log::Term {
        self.status.term
    }

    pub(super) fn leader(&self) -> Option<&member::MemberProfile> {
        self.status.leader.as_ref()
    }
}
