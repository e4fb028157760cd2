//! The leader: heartbeats, lease, linearizable reads, proposals, membership changes and leadership
//! transfer.

use std::collections;
use std::time;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

impl core::RaftNode {
    /// Election timeouts after which a leader without a new echo from a quorum steps down. Its lease
    /// ends within the first; the second allows for answers that are late but still arrive.
    const ECHO_TIMEOUTS: u32 = 2;

    /// Appends a command to the log, if this member is the leader.
    ///
    /// # Errors
    ///
    /// Fails if the proposal is refused; a refused proposal is never committed.
    pub fn propose(
        &mut self,
        command: bytes::Bytes,
    ) -> Result<log::LogPosition, core::ProposeRefusal> {
        let Some(state) = self.leader_state() else {
            return Err(core::ProposeRefusal::NotLeader);
        };
        if state.transfer.is_some() {
            return Err(core::ProposeRefusal::Transferring);
        }
        Ok(self.append_entry(log::EntryPayload::Command(command)))
    }

    /// Requests a linearizable read; its [`core::ReadOutcome`] is part of a later output.
    ///
    /// While the leader's lease is valid, the read is ready at once (lease read). Otherwise it
    /// waits until a quorum has answered a new round of heartbeats (`ReadIndex`).
    pub fn read(&mut self, ticket: core::ReadTicket, now: core::MonotonicTime) {
        let ready =
            self.is_ready_leader() && self.lease_until(now).is_some_and(|until| now < until);
        if ready {
            let index = self.commit;
            let outcome = core::ReadOutcome::Ready { ticket, index };
            self.output.reads.push(outcome);
            return;
        }
        let Some(state) = self.leader_state_mut() else {
            self.output
                .reads
                .push(core::ReadOutcome::Refused { ticket });
            return;
        };
        let sequence = state.sequence + 1;
        state.next_heartbeat_at = now;
        state
            .pending_reads
            .push(core::PendingRead { ticket, sequence });
        self.tick_leader(now);
    }

    /// Appends a change of the membership, if this member is the leader.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused; a refused change is never committed.
    pub fn change_membership(
        &mut self,
        change: &member::MembershipChange,
        now: core::MonotonicTime,
    ) -> Result<log::LogPosition, core::ChangeRefusal> {
        let Some(state) = self.leader_state() else {
            return Err(core::ChangeRefusal::NotLeader);
        };
        let change_pending = self.membership.current_index() > self.commit;
        if change_pending || state.transfer.is_some() || !self.is_ready_leader() {
            return Err(core::ChangeRefusal::Underway);
        }
        if let member::MembershipChange::Promote(id)
        | member::MembershipChange::Exchange { promoted: id, .. }
        | member::MembershipChange::Replace { promoted: id, .. } = change
        {
            self.check_caught_up(*id)?;
        }
        let changed = self.membership.current().changed(change);
        let list = changed.ok_or(core::ChangeRefusal::Inapplicable)?;
        self.record_lease(now);
        let position = self.append_entry(log::EntryPayload::Membership(list));
        self.track_members(now);
        Ok(position)
    }

    /// Starts a leadership transfer to a voter; returns false if this member is not the leader, the
    /// target is not another voter, or a transfer is already in progress.
    ///
    /// The lease is not extended any more, and the target is told to start an election only after
    /// the lease has expired, so that users of the lease can rely on it until its end.
    pub fn transfer_leadership(
        &mut self,
        target: member::MemberId,
        now: core::MonotonicTime,
    ) -> bool {
        let is_valid_target = target != self.own_id() && self.membership.current().is_voter(target);
        self.record_lease(now);
        let election_timeout = self.settings.election_timeout;
        let Some(state) = self.leader_state_mut() else {
            return false;
        };
        if !is_valid_target || state.transfer.is_some() {
            return false;
        }
        let lease_until = state.earlier_lease_until.max(now);
        state.transfer = Some(core::TransferState {
            target,
            lease_until,
            deadline: lease_until + election_timeout,
            target_notified: false,
        });
        self.refuse_reads();
        true
    }

    /// Returns the other voter with the most replicated entries, preferably one that has not
    /// announced that it stops; the latest contact breaks ties.
    #[must_use]
    pub fn best_transfer_target(&self) -> Option<member::MemberId> {
        let state = self.leader_state()?;
        let membership = self.membership.current();
        let best = state
            .progress
            .iter()
            .filter(|(id, _)| membership.is_voter(**id))
            .max_by_key(|(_, progress)| {
                let stays = progress.leaving_since.is_none();
                (stays, progress.matched, progress.last_contact)
            });
        best.map(|(id, _)| *id)
    }

    /// Returns the end of the leader's lease: until then no other member can become leader, as far
    /// as this leader knows.
    ///
    /// Returns `None` if this member is not the leader, or no quorum has answered yet.
    #[must_use]
    pub fn lease_until(&self, now: core::MonotonicTime) -> Option<core::MonotonicTime> {
        let state = self.leader_state()?;
        if let Some(transfer) = state.transfer {
            return Some(transfer.lease_until);
        }
        let start = self.quorum_value(now, |progress| {
            progress.last_echo.map(|probe| probe.sent_at)
        })?;
        Some(start + self.settings.lease_duration())
    }

    /// Returns whether this member is the leader and has committed an entry of its own term.
    #[must_use]
    pub fn is_ready_leader(&self) -> bool {
        self.leader_state()
            .is_some_and(|state| state.term_start_index <= self.commit)
    }

    /// Returns the position of the first entry of the leader's term, once that entry is committed.
    #[must_use]
    pub fn leading_since(&self) -> Option<log::LogPosition> {
        let state = self.leader_state()?;
        self.is_ready_leader().then_some(log::LogPosition {
            term: self.hard_state.term,
            index: state.term_start_index,
        })
    }

    pub(super) fn become_leader(
        &mut self,
        lost: collections::BTreeSet<member::MemberId>,
        now: core::MonotonicTime,
    ) {
        let term_start_index = self.log.last().index.next();
        self.role = core::RoleState::Leader(Box::new(core::LeaderState {
            term: self.hard_state.term,
            began_at: now,
            lost,
            progress: collections::BTreeMap::new(),
            term_start_index,
            sequence: 0,
            next_heartbeat_at: now,
            next_watermarks_at: now,
            pending_reads: Vec::new(),
            transfer: None,
            earlier_lease_until: now,
        }));
        self.leader = Some(self.own_id());
        let members = self.membership.in_force(self.commit);
        let members = members.flat_map(member::MembershipList::iter);
        self.contacts
            .begin_term(members.map(|member| member.profile.id), now);
        self.track_members(now);
        self.append_entry(log::EntryPayload::Blank);
    }

    pub(super) fn tick_leader(&mut self, now: core::MonotonicTime) {
        let timeout = self.settings.election_timeout;
        let lost_quorum = self.time_since_quorum_contact(now) >= timeout
            || self.time_since_quorum_echo(now) >= timeout * Self::ECHO_TIMEOUTS;
        if lost_quorum || self.expire_transfer(now) {
            self.step_down(now);
            return;
        }
        self.advance_transfer(now);
        let interval = self.settings.heartbeat_interval;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        if now < state.next_heartbeat_at {
            return;
        }
        state.next_heartbeat_at = now + interval;
        state.sequence += 1;
        self.send_heartbeats(now);
    }

    /// Records the contact with the sender of a response; returns false if the response must be
    /// dropped, as all responses to messages of other terms are.
    ///
    /// A response of a newer term makes this member a follower.
    pub(super) fn accept_response(
        &mut self,
        sender: &core::MessageSender,
        probe: message::ProbeStamp,
        now: core::MonotonicTime,
    ) -> bool {
        if sender.term > self.hard_state.term {
            self.become_follower(sender.term, None, now);
            return false;
        }
        if sender.term < self.hard_state.term {
            return false;
        }
        let Some(state) = self.leader_state_mut() else {
            return false;
        };
        if !state.is_current(probe) {
            return false;
        }
        let Some(progress) = state.progress.get_mut(&sender.id) else {
            return false;
        };
        progress.record_contact(probe, now);
        self.contacts.record(sender.id, now);
        self.complete_reads();
        true
    }

    pub(super) fn refuse_reads(&mut self) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let refused = std::mem::take(&mut state.pending_reads);
        let outcomes = refused.into_iter().map(|read| core::ReadOutcome::Refused {
            ticket: read.ticket,
        });
        self.output.reads.extend(outcomes);
    }

    /// Completes the pending reads whose heartbeat round a quorum has answered.
    pub(super) fn complete_reads(&mut self) {
        if !self.is_ready_leader() {
            return;
        }
        let index = self.commit;
        let Some(sequence) = self.leader_state().map(|state| state.sequence) else {
            return;
        };
        let confirmed = self.quorum_value(sequence, |progress| {
            progress.last_echo.map(|probe| probe.sequence)
        });
        let confirmed = confirmed.unwrap_or(0);
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let (ready, waiting) = std::mem::take(&mut state.pending_reads)
            .into_iter()
            .partition(|read| read.sequence <= confirmed);
        state.pending_reads = waiting;
        let ready: Vec<core::PendingRead> = ready;
        let outcomes = ready.into_iter().map(|read| core::ReadOutcome::Ready {
            ticket: read.ticket,
            index,
        });
        self.output.reads.extend(outcomes);
    }

    fn advance_transfer(&mut self, now: core::MonotonicTime) {
        let last = self.log.last().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let Some(transfer) = &mut state.transfer else {
            return;
        };
        let target = transfer.target;
        let caught_up = state
            .progress
            .get(&target)
            .is_some_and(|progress| progress.matched >= last);
        if transfer.target_notified || !caught_up || now < transfer.lease_until {
            return;
        }
        transfer.target_notified = true;
        self.send_immediate(target, message::MessageBody::ElectNow);
    }

    /// Steps down once a membership in which this member is not a voter is committed and confirmed.
    ///
    /// Until it is confirmed, another leader needs a quorum of the membership before it, and this
    /// member can be the only one of that quorum with the whole log.
    pub(super) fn step_down_if_removed(&mut self) {
        let is_committed =
            self.membership.current_index() <= self.commit && self.membership.is_confirmed();
        let is_voter = self.membership.current().is_voter(self.own_id());
        if is_committed && !is_voter && matches!(self.role, core::RoleState::Leader(_)) {
            self.refuse_reads();
            self.role = core::RoleState::Follower;
            self.leader = None;
        }
    }

    pub(super) fn append_entry(&mut self, payload: log::EntryPayload) -> log::LogPosition {
        let position = log::LogPosition {
            term: self.hard_state.term,
            index: self.log.last().index.next(),
        };
        let entry = log::LogEntry { position, payload };
        self.membership.record(&entry);
        self.output.entries.push(entry.clone());
        self.log.push(entry);
        position
    }

    /// Records the end of the lease under the current membership: computed with the next
    /// membership, it may be earlier.
    fn record_lease(&mut self, now: core::MonotonicTime) {
        let lease_until = self.lease_until(now);
        if let (Some(state), Some(lease_until)) = (self.leader_state_mut(), lease_until) {
            state.earlier_lease_until = state.earlier_lease_until.max(lease_until);
        }
    }

    fn check_caught_up(&self, id: member::MemberId) -> Result<(), core::ChangeRefusal> {
        let progress = self.progress(id);
        let progress = progress.ok_or(core::ChangeRefusal::Inapplicable)?;
        let promotable_until = progress.matched.get() + self.settings.promotion_lag_entries;
        if promotable_until < self.log.last().index.get() {
            return Err(core::ChangeRefusal::Lagging);
        }
        Ok(())
    }

    /// Adds the progress of the members of all memberships in force.
    fn track_members(&mut self, now: core::MonotonicTime) {
        let own_id = self.own_id();
        let last = self.log.last().index;
        let members = self.membership.in_force(self.commit);
        let ids: Vec<member::MemberId> = members
            .flat_map(member::MembershipList::iter)
            .map(|member| member.profile.id)
            .filter(|id| *id != own_id)
            .collect();
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        for id in ids {
            let new_progress = || core::MemberProgress::new(last, now);
            state.progress.entry(id).or_insert_with(new_progress);
        }
    }

    /// Drops the progress of members whose removal is committed; a last message tells them so.
    pub(super) fn drop_removed_members(&mut self, now: core::MonotonicTime) {
        if self.membership.current_index() > self.commit {
            return;
        }
        let membership = self.membership.current();
        let Some(state) = self.leader_state() else {
            return;
        };
        let tracked = state.progress.keys().copied();
        let removed: Vec<member::MemberId> =
            tracked.filter(|id| !membership.contains(*id)).collect();
        for id in removed {
            self.send_last_entries(id, now);
            if let Some(state) = self.leader_state_mut() {
                state.progress.remove(&id);
            }
        }
    }

    /// Repeats a committed membership, so that the members need not ask the voters of the one
    /// before it any more once they have the entry.
    pub(super) fn confirm_membership(&mut self) {
        let is_committed = self.membership.current_index() <= self.commit;
        let is_leader = self.leader_state().is_some();
        if is_leader && is_committed && !self.membership.is_confirmed() {
            let list = self.membership.current().clone();
            self.append_entry(log::EntryPayload::Membership(list));
        }
    }

    /// Returns how long ago a quorum of the voters was last in contact.
    fn time_since_quorum_contact(&self, now: core::MonotonicTime) -> time::Duration {
        let last_contact = self.quorum_value(now, |progress| Some(progress.last_contact));
        last_contact.map_or(time::Duration::ZERO, |last_contact| now.since(last_contact))
    }

    /// Returns how long ago the latest message was sent that a quorum of the voters has answered,
    /// at most the time since the start of the term.
    fn time_since_quorum_echo(&self, now: core::MonotonicTime) -> time::Duration {
        let Some(began_at) = self.leader_state().map(|state| state.began_at) else {
            return time::Duration::ZERO;
        };
        let sent_at = self.quorum_value(now, |progress| {
            Some(progress.last_echo.map_or(began_at, |probe| probe.sent_at))
        });
        sent_at.map_or(time::Duration::ZERO, |sent_at| now.since(sent_at))
    }

    /// Ends a leadership transfer that has reached its deadline; returns whether the leader must
    /// step down.
    ///
    /// It must if the target was told to start an election: the lease has been given up and cannot
    /// be resumed.
    fn expire_transfer(&mut self, now: core::MonotonicTime) -> bool {
        let Some(state) = self.leader_state_mut() else {
            return false;
        };
        let Some(transfer) = state.transfer else {
            return false;
        };
        if now < transfer.deadline {
            return false;
        }
        state.transfer = None;
        transfer.target_notified
    }
}
