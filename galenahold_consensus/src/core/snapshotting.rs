//! Snapshots: log compaction, and snapshot transfer to members that lag.

use crate::core;
use crate::log;
use crate::member;
use crate::message;

impl core::RaftNode {
    /// Returns the metadata for a snapshot of the state after the index, or `None` if the log in
    /// memory does not contain the index.
    #[must_use]
    pub fn snapshot_meta(&self, index: log::LogIndex) -> Option<log::SnapshotMeta> {
        let term = self.log.term_at(index)?;
        Some(log::SnapshotMeta {
            position: log::LogPosition { term, index },
            membership: self.membership.at(index).clone(),
        })
    }

    /// Records a durable snapshot of this member's state machine and compacts the log.
    pub fn snapshot_taken(&mut self, image: log::SnapshotImage) {
        let index = image.meta.position.index;
        let is_newer = self
            .snapshot_position()
            .is_none_or(|current| current.index < index);
        if !is_newer {
            return;
        }
        self.snapshot = Some(image);
        let retained = self.settings.retained_entries;
        let compact_index = log::LogIndex::new(index.get().saturating_sub(retained));
        self.log.compact_to(compact_index);
        self.membership.compact_to(compact_index);
    }

    pub(super) fn start_snapshot_transfer(&mut self, id: member::MemberId) {
        let index = self.snapshot_position().unwrap_or_default().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        progress.phase = core::ProgressPhase::Snapshot(core::SnapshotTransfer {
            index,
            offset: 0,
            sent_at: None,
        });
    }

    /// Sends the chunk that the member expects next; resends it after an election timeout.
    ///
    /// Nothing is sent to a member that has not responded for an election timeout.
    pub(super) fn send_snapshot(&mut self, id: member::MemberId, now: core::MonotonicTime) {
        let timeout = self.settings.election_timeout;
        let Some(image) = self.snapshot.clone() else {
            return;
        };
        let index = image.meta.position.index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let probe = state.probe_stamp(now);
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        let core::ProgressPhase::Snapshot(transfer) = &mut progress.phase else {
            return;
        };
        if transfer.index != index {
            transfer.index = index;
            transfer.offset = 0;
            transfer.sent_at = None;
        }
        let waiting = transfer
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < timeout);
        if waiting || now.since(progress.last_contact) >= timeout {
            return;
        }
        transfer.sent_at = Some(now);
        let offset = transfer.offset;
        self.send_chunk(id, image, offset, probe);
    }

    pub(super) fn receive_snapshot_progress(
        &mut self,
        id: member::MemberId,
        index: log::LogIndex,
        offset: u64,
    ) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&id) else {
            return;
        };
        if let core::ProgressPhase::Snapshot(transfer) = &mut progress.phase
            && transfer.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset;
            transfer.sent_at = None;
        }
    }

    pub(super) fn receive_chunk(
        &mut self,
        sender: &core::MessageSender,
        chunk: &message::SnapshotChunk,
    ) {
        let position = chunk.meta.position;
        if position.index <= self.commit || self.log.matches(position) {
            self.commit_to(position.index);
            self.send_snapshot_response(sender, chunk);
            return;
        }
        let incoming = self.incoming.get_or_insert_with(|| core::IncomingSnapshot {
            meta: chunk.meta.clone(),
            data: Vec::new(),
        });
        if incoming.meta.position != position {
            incoming.meta = chunk.meta.clone();
            incoming.data.clear();
        }
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let offset = incoming.data.len() as u64;
        if offset < chunk.total {
            let body = message::MessageBody::SnapshotProgress {
                index: position.index,
                offset,
                probe: chunk.probe,
            };
            self.send_after_sync(sender, body);
            return;
        }
        self.install_snapshot();
        self.send_snapshot_response(sender, chunk);
    }

    fn install_snapshot(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let position = incoming.meta.position;
        self.log.reset(position);
        self.membership = core::MembershipHistory::new(incoming.meta.membership.clone());
        self.commit = position.index;
        self.durable = position.index;
        let image = log::SnapshotImage {
            meta: incoming.meta,
            data: incoming.data.into(),
        };
        self.output.entries.clear();
        self.output.committed.clear();
        self.output.install = Some(image.clone());
        self.snapshot = Some(image);
    }

    fn send_chunk(
        &mut self,
        id: member::MemberId,
        image: log::SnapshotImage,
        offset: u64,
        probe: message::ProbeStamp,
    ) {
        let total = image.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = (start + self.settings.chunk_bytes).min(total);
        let body = message::MessageBody::SnapshotChunk(message::SnapshotChunk {
            meta: image.meta,
            offset: start as u64,
            total: total as u64,
            data: image.data.slice(start..end),
            probe,
        });
        self.send_immediate(id, body);
    }

    fn send_snapshot_response(
        &mut self,
        sender: &core::MessageSender,
        chunk: &message::SnapshotChunk,
    ) {
        let index = chunk.meta.position.index;
        let body = message::MessageBody::AppendResponse(message::AppendResponse {
            accepted: true,
            previous: index,
            matched: index,
            probe: chunk.probe,
        });
        self.send_after_sync(sender, body);
    }
}
