//! A Raft group member without I/O: its state and its inputs.

use std::collections;
use std::mem;
use std::time;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

/// A member of a consensus group, as a step function.
///
/// Each input carries the time of the local monotonic clock, read when the input is processed. The
/// resulting actions are collected and returned by [`RaftNode::take_output`].
#[derive(Debug, Clone)]
pub struct RaftNode {
    pub(super) settings: core::NodeSettings,
    pub(super) hard_state: log::HardState,
    pub(super) log: log::RaftLog,
    pub(super) membership: core::MembershipHistory,
    pub(super) role: core::RoleState,
    pub(super) leader: Option<member::MemberId>,
    /// When a leader last made contact; votes are refused for an election timeout from then on.
    pub(super) last_leader_contact: core::MonotonicTime,
    pub(super) contacts: core::ContactTable,
    pub(super) election_deadline: core::MonotonicTime,
    pub(super) jitter: core::JitterSource,
    pub(super) commit: log::LogIndex,
    pub(super) durable: log::LogIndex,
    pub(super) snapshot: Option<log::SnapshotImage>,
    pub(super) incoming: Option<core::IncomingSnapshot>,
    pub(super) watermarks: core::WatermarkTable,
    /// Current endpoints of members that have moved since the membership was written.
    pub(super) endpoints: collections::BTreeMap<member::MemberId, member::MemberEndpoint>,
    /// Voters whose data folders are known to be lost.
    pub(super) lost: collections::BTreeSet<member::MemberId>,
    pub(super) output: core::NodeOutput,
}

impl RaftNode {
    /// Starts a member from the state recovered from its data folder.
    ///
    /// `genesis` is the group's first membership. The recovered entries follow the snapshot without
    /// a gap. The member may have acknowledged a leader's lease right before it stopped, so it
    /// refuses votes for one election timeout after its start.
    #[must_use]
    pub fn new(
        settings: core::NodeSettings,
        genesis: member::MembershipList,
        recovered: core::RecoveredState,
        now: core::MonotonicTime,
    ) -> Self {
        let meta = recovered.snapshot.as_ref().map(|image| image.meta.clone());
        let meta = meta.unwrap_or(log::SnapshotMeta {
            position: log::LogPosition::default(),
            membership: genesis,
        });
        let mut membership = core::MembershipHistory::new(meta.membership);
        for entry in &recovered.entries {
            membership.record(entry);
        }
        let log = log::RaftLog::new(meta.position, recovered.entries);
        let mut jitter = core::JitterSource::new(settings.seed);
        let election_deadline = now + jitter.randomize(settings.election_timeout);
        Self {
            durable: log.last().index,
            commit: meta.position.index,
            hard_state: recovered.hard_state,
            watermarks: core::WatermarkTable::new(recovered.marks),
            snapshot: recovered.snapshot,
            role: core::RoleState::Follower,
            leader: None,
            last_leader_contact: now,
            contacts: core::ContactTable::default(),
            incoming: None,
            endpoints: collections::BTreeMap::new(),
            lost: collections::BTreeSet::new(),
            output: core::NodeOutput::default(),
            settings,
            log,
            membership,
            election_deadline,
            jitter,
        }
    }

    /// Handles the timeouts that are due.
    pub fn tick(&mut self, now: core::MonotonicTime) {
        match self.role {
            core::RoleState::Retired => {}
            core::RoleState::Leader(_) => self.tick_leader(now),
            _ => self.tick_election(now),
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, message: message::ConsensusMessage, now: core::MonotonicTime) {
        let addressed = message.to == Some(self.settings.profile.id)
            && message.cluster == Some(self.settings.cluster);
        let ignored = self.lost.contains(&message.from);
        if !addressed || ignored || matches!(self.role, core::RoleState::Retired) {
            return;
        }
        if let message::MessageBody::Superseded { incarnation } = message.body {
            self.retire_if_addressed(incarnation);
            return;
        }
        if !self.watermarks.admit(&message) {
            self.send_superseded(&message);
            return;
        }
        self.update_endpoint(&message);
        let sender = core::MessageSender {
            id: message.from,
            endpoint: message.from_endpoint,
            term: message.term,
            durable: message.durable,
        };
        self.dispatch(&sender, message.body, now);
    }

    /// Records a process that announces an empty data folder at its address.
    ///
    /// A process has its address to itself, so that a voter that had this address under another
    /// identity has lost its data folder and answers no one again; nothing of it is accepted any
    /// more. The announcement of a data folder that has already been a member is old and proves
    /// nothing.
    pub fn observe_empty_folder(&mut self, joiner: &member::MemberProfile) {
        if self.watermarks.contains(joiner.id) {
            return;
        }
        let members = self.membership.in_force(self.commit);
        let ids: collections::BTreeSet<member::MemberId> = members
            .flat_map(member::MembershipList::iter)
            .map(|member| member.profile.id)
            .collect();
        let is_lost = |id: &member::MemberId| {
            let replaced = *id != joiner.id && *id != self.own_id();
            replaced && self.endpoint(*id).as_ref() == Some(&joiner.endpoint)
        };
        let lost: Vec<member::MemberId> = ids.iter().copied().filter(is_lost).collect();
        self.lost.retain(|id| ids.contains(id));
        self.lost.extend(lost);
    }

    /// Tells the leader that this member stops, or hands leadership over; the caller repeats this
    /// while the member stops, as the leader may change.
    pub fn announce_leaving(&mut self, now: core::MonotonicTime) {
        if let Some(target) = self.best_transfer_target() {
            self.transfer_leadership(target, now);
        } else if let Some(leader) = self.leader {
            self.send_immediate(leader, message::MessageBody::Leaving);
        }
    }

    /// Returns the requested actions, after filling the append windows of all members.
    ///
    /// No message of a term is sent before the term is durable. Otherwise the only voter of a group
    /// could crash in between and become leader of the same term twice.
    pub fn take_output(&mut self, now: core::MonotonicTime) -> core::NodeOutput {
        self.drop_removed_members(now);
        self.replicate_to_members(now);
        let mut output = mem::take(&mut self.output);
        if output.hard_state.is_some() {
            output.after_sync.append(&mut output.immediate);
        }
        output
    }

    /// Records that all entries of the outputs so far, up to the position, are durable.
    pub fn persisted(&mut self, position: log::LogPosition) {
        if !self.log.matches(position) {
            return;
        }
        self.durable = self.durable.max(position.index);
        if matches!(self.role, core::RoleState::Leader(_)) {
            self.advance_commit();
        }
    }

    /// Steps down as leader, for instance because writing to the data folder failed.
    pub fn step_down(&mut self, now: core::MonotonicTime) {
        let term = self.hard_state.term;
        self.become_follower(term, None, now);
    }

    /// Returns the time by which [`RaftNode::tick`] must be called.
    #[must_use]
    pub fn wake_at(&self) -> core::MonotonicTime {
        self.leader_state()
            .map_or(self.election_deadline, |state| state.next_heartbeat_at)
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> core::NodeRole {
        match self.role {
            core::RoleState::Follower => core::NodeRole::Follower,
            core::RoleState::PreCandidate(_) | core::RoleState::Candidate(_) => {
                core::NodeRole::Candidate
            }
            core::RoleState::Leader(_) => core::NodeRole::Leader,
            core::RoleState::Retired => core::NodeRole::Retired,
        }
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> log::Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<member::MemberId> {
        self.leader
    }

    /// Returns the commit index: the highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> log::LogIndex {
        self.commit
    }

    /// Returns the position of the last log entry.
    #[must_use]
    pub fn last(&self) -> log::LogPosition {
        self.log.last()
    }

    /// Returns the log in memory.
    #[must_use]
    pub fn log(&self) -> &log::RaftLog {
        &self.log
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn membership(&self) -> &member::MembershipList {
        self.membership.current()
    }

    /// Returns whether this member was removed and the others no longer depend on it.
    ///
    /// That takes the repeated entry too: until a quorum has it, another leader would need a quorum
    /// of the earlier membership.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        let is_committed =
            self.membership.current_index() <= self.commit && self.membership.is_confirmed();
        let is_member = self.membership.current().contains(self.own_id());
        // A learner that still catches up has no entry yet that contains it.
        let was_member = self.membership.find(self.own_id()).is_some();
        is_committed && was_member && !is_member
    }

    /// Returns the position of the last snapshot.
    #[must_use]
    pub fn snapshot_position(&self) -> Option<log::LogPosition> {
        self.snapshot.as_ref().map(|image| image.meta.position)
    }

    /// Returns the watermarks of the members.
    #[must_use]
    pub fn marks(&self) -> &core::WatermarkTable {
        &self.watermarks
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &core::NodeSettings {
        &self.settings
    }

    /// Returns a member's replication progress, or `None` if this member is not the leader.
    #[must_use]
    pub fn progress(&self, id: member::MemberId) -> Option<&core::MemberProgress> {
        self.leader_state()?.progress.get(&id)
    }

    /// Returns how long a member has been silent to this leader and those before it, or according to the
    /// last report of the leader that this member follows; `None` if this member leads and the ID is its own,
    /// or if no leader has reported on the member.
    #[must_use]
    pub fn silence(
        &self,
        id: member::MemberId,
        now: core::MonotonicTime,
    ) -> Option<time::Duration> {
        let last_answer = match &self.role {
            core::RoleState::Leader(state) => Some(state.progress.get(&id)?.last_contact),
            _ => None,
        };
        let last_contact = self.contacts.last_contact(id).or(last_answer);
        last_contact.map(|last_contact| now.since(last_contact))
    }

    fn progress_mut(&mut self, id: member::MemberId) -> Option<&mut core::MemberProgress> {
        self.leader_state_mut()?.progress.get_mut(&id)
    }

    fn dispatch(
        &mut self,
        sender: &core::MessageSender,
        body: message::MessageBody,
        now: core::MonotonicTime,
    ) {
        match body {
            message::MessageBody::VoteRequest(request) => {
                self.receive_vote_request(sender, request, now);
            }
            message::MessageBody::VoteResponse(response) => {
                self.receive_vote_response(sender, response, now);
            }
            message::MessageBody::AppendRequest(request) => {
                if self.accept_leader(sender, request.probe, now) {
                    self.record_silences(sender.id, &request.silences, now);
                    self.receive_append(sender, &request);
                }
            }
            message::MessageBody::SnapshotChunk(chunk) => {
                if self.accept_leader(sender, chunk.probe, now) {
                    self.receive_chunk(sender, &chunk);
                }
            }
            message::MessageBody::Heartbeat { probe } => {
                if self.accept_leader(sender, probe, now) {
                    let body = message::MessageBody::HeartbeatResponse { probe };
                    self.send_after_sync(sender, body);
                }
            }
            message::MessageBody::AppendResponse(response) => {
                if self.accept_response(sender, response.probe, now) {
                    self.receive_append_response(sender.id, response);
                }
            }
            message::MessageBody::SnapshotProgress {
                index,
                offset,
                probe,
            } => {
                if self.accept_response(sender, probe, now) {
                    self.receive_snapshot_progress(sender.id, index, offset);
                }
            }
            message::MessageBody::HeartbeatResponse { probe } => {
                self.accept_response(sender, probe, now);
            }
            message::MessageBody::Leaving => {
                if let Some(progress) = self.progress_mut(sender.id) {
                    progress.leaving_since = Some(now);
                }
            }
            message::MessageBody::ElectNow => self.receive_elect_now(sender, now),
            message::MessageBody::Superseded { .. } | message::MessageBody::Founding(_) => {}
        }
    }

    /// Stops permanently if the incarnation is that of this process.
    ///
    /// The message may be meant for an earlier process of the same data folder.
    fn retire_if_addressed(&mut self, incarnation: u64) {
        if incarnation == self.settings.incarnation {
            self.refuse_reads();
            self.role = core::RoleState::Retired;
            self.leader = None;
            self.output.retired = true;
        }
    }

    /// Tells the sender of a refused message that its data folder is an older copy.
    fn send_superseded(&mut self, message: &message::ConsensusMessage) {
        let body = message::MessageBody::Superseded {
            incarnation: message.incarnation,
        };
        let reply = self.build_message(message.from, body);
        self.output.immediate.push(core::OutgoingMessage {
            to: message.from_endpoint.clone(),
            message: reply,
        });
    }

    pub(super) fn build_message(
        &self,
        to: member::MemberId,
        body: message::MessageBody,
    ) -> message::ConsensusMessage {
        message::ConsensusMessage {
            version: message::ConsensusMessage::VERSION,
            cluster: Some(self.settings.cluster),
            from: self.settings.profile.id,
            from_endpoint: self.settings.profile.endpoint.clone(),
            to: Some(to),
            boot: self.settings.boot,
            incarnation: self.settings.incarnation,
            term: self.hard_state.term,
            durable: self.durable,
            body,
        }
    }

    pub(super) fn send_immediate(&mut self, to: member::MemberId, body: message::MessageBody) {
        let Some(endpoint) = self.endpoint(to) else {
            return;
        };
        let message = self.build_message(to, body);
        self.output.immediate.push(core::OutgoingMessage {
            to: endpoint,
            message,
        });
    }

    pub(super) fn send_after_sync(&mut self, to: &core::MessageSender, body: message::MessageBody) {
        let message = self.build_message(to.id, body);
        self.output.after_sync.push(core::OutgoingMessage {
            to: to.endpoint.clone(),
            message,
        });
    }

    /// Returns the current endpoint of a member of the group.
    pub(super) fn endpoint(&self, id: member::MemberId) -> Option<member::MemberEndpoint> {
        let member = self.membership.find(id)?;
        let updated = self.endpoints.get(&id);
        Some(updated.unwrap_or(&member.profile.endpoint).clone())
    }

    fn update_endpoint(&mut self, message: &message::ConsensusMessage) {
        let known = self.endpoint(message.from);
        if known.is_some_and(|known| known != message.from_endpoint) {
            self.endpoints
                .insert(message.from, message.from_endpoint.clone());
        }
    }

    pub(super) fn own_id(&self) -> member::MemberId {
        self.settings.profile.id
    }

    pub(super) fn leader_state(&self) -> Option<&core::LeaderState> {
        match &self.role {
            core::RoleState::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut core::LeaderState> {
        match &mut self.role {
            core::RoleState::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Returns whether the members form a quorum of every membership in force.
    pub(super) fn is_quorum(
        &self,
        agreeing: &collections::BTreeSet<member::MemberId>,
        lost: &collections::BTreeSet<member::MemberId>,
    ) -> bool {
        self.membership
            .in_force(self.commit)
            .all(|list| list.is_quorum(|id| agreeing.contains(&id), lost))
    }

    /// Returns the highest value that a quorum of every membership in force has reached, if this
    /// member is the leader.
    pub(super) fn quorum_value<V: Copy + Ord>(
        &self,
        own: V,
        value: impl Fn(&core::MemberProgress) -> Option<V>,
    ) -> Option<V> {
        let state = self.leader_state()?;
        let values = self
            .membership
            .in_force(self.commit)
            .map(|list| state.quorum_value(list, (self.own_id(), own), &value));
        // `None` is less than every value.
        values.min().flatten()
    }

    /// Returns whether the ID is that of a voter of a membership in force.
    pub(super) fn is_voter_in_force(&self, id: member::MemberId) -> bool {
        self.membership
            .in_force(self.commit)
            .any(|list| list.is_voter(id))
    }

    /// Advances the commit index and outputs the entries that it passes.
    pub(super) fn commit_to(&mut self, index: log::LogIndex) {
        while self.commit < index {
            self.commit = self.commit.next();
            if let Some(entry) = self.log.get(self.commit) {
                self.output.committed.push(entry.clone());
            }
        }
    }
}
