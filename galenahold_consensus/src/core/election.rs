//! Elections: trial votes, votes, and what a voter promises to a leader's lease.

use std::collections;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

impl core::RaftNode {
    const TRIAL_RETRY_DIVISOR: u32 = 4;

    pub(super) fn tick_election(&mut self, now: core::MonotonicTime) {
        if now < self.election_at {
            return;
        }
        let shortest = self.settings.election_timeout / Self::TRIAL_RETRY_DIVISOR;
        self.election_at = now + self.jitter.spread(shortest);
        if self.may_stand() {
            self.leader = None;
            self.seek_votes(message::VoteKind::Trial, now);
        }
    }

    /// Becomes a follower in the term; the leader's lease, if one holds, stays promised.
    pub(super) fn follow(
        &mut self,
        term: log::Term,
        leader: Option<member::MemberId>,
        now: core::MonotonicTime,
    ) {
        let led = matches!(self.role, core::RoleState::Leader(_));
        if led {
            self.refuse_reads();
            self.election_at = now + self.jitter.spread(self.settings.election_timeout);
        }
        if term > self.hard_state.term {
            self.set_hard_state(log::HardState {
                term,
                voted_for: None,
            });
        }
        self.role = core::RoleState::Follower;
        self.leader = leader;
    }

    /// Follows the sender as the leader of its term; false if the term is over.
    pub(super) fn follow_sender(
        &mut self,
        sender: &core::MessageSender,
        probe: message::ProbeStamp,
        now: core::MonotonicTime,
    ) -> bool {
        if sender.term < self.hard_state.term {
            let body = message::MessageBody::HeartbeatResponse { probe };
            self.send_after_sync(sender, body);
            return false;
        }
        if self.leader != Some(sender.id) || sender.term > self.hard_state.term {
            self.follow(sender.term, Some(sender.id), now);
        }
        self.role = core::RoleState::Follower;
        self.leader_contact = now;
        self.election_at = now + self.jitter.spread(self.settings.election_timeout);
        true
    }

    pub(super) fn receive_vote_request(
        &mut self,
        sender: &core::MessageSender,
        request: message::VoteRequest,
        now: core::MonotonicTime,
    ) {
        if self.refuses_for_lease(request.kind, now) {
            return;
        }
        let granted = match request.kind {
            message::VoteKind::Trial => self.would_vote(&request),
            _ => self.vote(sender, &request, now),
        };
        let body = message::MessageBody::VoteResponse(message::VoteResponse {
            kind: request.kind,
            term: request.term,
            granted,
        });
        self.send_after_sync(sender, body);
    }

    pub(super) fn receive_vote_response(
        &mut self,
        sender: &core::MessageSender,
        response: message::VoteResponse,
        now: core::MonotonicTime,
    ) {
        if sender.term > self.hard_state.term && !response.granted {
            self.follow(sender.term, None, now);
            return;
        }
        let quorum = self.membership.current().quorum();
        let term = self.hard_state.term;
        let entitled = self.membership.current().is_voter(sender.id);
        if !response.granted || !entitled {
            return;
        }
        match &mut self.role {
            core::RoleState::TrialCandidate(votes)
                if response.kind == message::VoteKind::Trial && response.term == term.next() =>
            {
                votes.insert(sender.id);
                if votes.len() >= quorum {
                    self.seek_votes(message::VoteKind::Ordinary, now);
                }
            }
            core::RoleState::Candidate(votes)
                if response.kind != message::VoteKind::Trial && response.term == term =>
            {
                votes.insert(sender.id);
                if votes.len() >= quorum {
                    self.lead(now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn receive_elect_now(
        &mut self,
        sender: &core::MessageSender,
        now: core::MonotonicTime,
    ) {
        let current = sender.term == self.hard_state.term && self.leader == Some(sender.id);
        if current && self.membership.current().is_voter(self.own_id()) {
            self.seek_votes(message::VoteKind::Transfer, now);
        }
    }

    /// Tells whether this member may ask for votes.
    ///
    /// One that an uncommitted change removes may: it can be the only one that holds the change.
    fn may_stand(&self) -> bool {
        let own_id = self.own_id();
        let settled = self.membership.at(self.commit);
        self.membership.current().is_voter(own_id) || settled.is_voter(own_id)
    }

    fn seek_votes(&mut self, kind: message::VoteKind, now: core::MonotonicTime) {
        let term = self.hard_state.term.next();
        let mut votes = collections::BTreeSet::new();
        if self.membership.current().is_voter(self.own_id()) {
            votes.insert(self.own_id());
        }
        let alone = votes.len() >= self.membership.current().quorum();
        if kind == message::VoteKind::Trial {
            self.role = core::RoleState::TrialCandidate(votes);
        } else {
            self.role = core::RoleState::Candidate(votes);
            self.leader = None;
            self.set_hard_state(log::HardState {
                term,
                voted_for: Some(self.own_id()),
            });
            self.election_at = now + self.jitter.spread(self.settings.election_timeout);
        }
        if alone {
            self.win_alone(kind, now);
            return;
        }
        self.ask_voters(message::VoteRequest {
            kind,
            term,
            last: self.log.last(),
        });
    }

    fn win_alone(&mut self, kind: message::VoteKind, now: core::MonotonicTime) {
        if kind == message::VoteKind::Trial {
            self.seek_votes(message::VoteKind::Ordinary, now);
        } else {
            self.lead(now);
        }
    }

    fn ask_voters(&mut self, request: message::VoteRequest) {
        let others: Vec<core::MessageSender> = self
            .membership
            .current()
            .iter()
            .filter(|member| member.standing == member::VotingStatus::Voter)
            .map(|member| member.profile.id)
            .filter(|id| *id != self.own_id())
            .filter_map(|id| {
                Some(core::MessageSender {
                    id,
                    endpoint: self.endpoint(id)?,
                    term: request.term,
                    durable: log::LogIndex::ZERO,
                })
            })
            .collect();
        for other in others {
            self.send_after_sync(&other, message::MessageBody::VoteRequest(request));
        }
    }

    /// Tells whether a lease that this member vouched for, or holds, may still be in force.
    fn refuses_for_lease(&self, kind: message::VoteKind, now: core::MonotonicTime) -> bool {
        if kind == message::VoteKind::Transfer {
            return false;
        }
        match self.role {
            core::RoleState::Leader(_) => true,
            _ => now < self.leader_contact + self.settings.election_timeout,
        }
    }

    fn would_vote(&self, request: &message::VoteRequest) -> bool {
        request.term > self.hard_state.term && request.last >= self.log.last()
    }

    fn vote(
        &mut self,
        sender: &core::MessageSender,
        request: &message::VoteRequest,
        now: core::MonotonicTime,
    ) -> bool {
        if request.term > self.hard_state.term {
            self.follow(request.term, None, now);
        }
        let free = self
            .hard_state
            .voted_for
            .is_none_or(|candidate| candidate == sender.id);
        let granted =
            request.term == self.hard_state.term && free && request.last >= self.log.last();
        if granted && self.hard_state.voted_for.is_none() {
            self.role = core::RoleState::Follower;
            self.set_hard_state(log::HardState {
                term: request.term,
                voted_for: Some(sender.id),
            });
            self.election_at = now + self.jitter.spread(self.settings.election_timeout);
        }
        granted
    }

    fn set_hard_state(&mut self, hard_state: log::HardState) {
        self.hard_state = hard_state;
        self.output.hard_state = Some(hard_state);
    }
}
