//! Leader election: pre-votes, votes, and leases that delay votes.

use std::collections;

use crate::core;
use crate::log;
use crate::member;
use crate::message;

impl core::RaftNode {
    /// A failed pre-vote is retried after a quarter to a half of the election timeout.
    const PRE_VOTE_RETRY_DIVISOR: u32 = 4;

    pub(super) fn tick_election(&mut self, now: core::MonotonicTime) {
        if now < self.election_deadline {
            return;
        }
        let retry_interval = self.settings.election_timeout / Self::PRE_VOTE_RETRY_DIVISOR;
        self.election_deadline = now + self.jitter.randomize(retry_interval);
        if self.may_campaign() {
            self.leader = None;
            self.start_campaign(message::VoteKind::Trial, now);
        }
    }

    /// Becomes a follower in the term.
    ///
    /// `last_leader_contact` does not change, so votes stay refused while a lease that this member
    /// acknowledged may still be valid.
    pub(super) fn become_follower(
        &mut self,
        term: log::Term,
        leader: Option<member::MemberId>,
        now: core::MonotonicTime,
    ) {
        let was_leader = matches!(self.role, core::RoleState::Leader(_));
        if was_leader {
            self.refuse_reads();
            let silences = self.silences(now);
            self.record_silences(self.own_id(), &silences, now);
            self.election_deadline = now + self.jitter.randomize(self.settings.election_timeout);
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

    /// Accepts the sender as the leader of its term; returns false if its term is stale.
    ///
    /// A stale leader gets a reply from which it learns the newer term.
    pub(super) fn accept_leader(
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
            self.become_follower(sender.term, Some(sender.id), now);
        }
        self.role = core::RoleState::Follower;
        self.last_leader_contact = now;
        self.election_deadline = now + self.jitter.randomize(self.settings.election_timeout);
        true
    }

    pub(super) fn receive_vote_request(
        &mut self,
        sender: &core::MessageSender,
        request: message::VoteRequest,
        now: core::MonotonicTime,
    ) {
        if self.ignores_vote_request(request.kind, now) {
            return;
        }
        let granted = match request.kind {
            message::VoteKind::Trial => self.would_grant_vote(&request),
            _ => self.decide_vote(sender, &request, now),
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
            self.become_follower(sender.term, None, now);
            return;
        }
        let term = self.hard_state.term;
        if !response.granted || !self.is_voter_in_force(sender.id) {
            return;
        }
        match &mut self.role {
            core::RoleState::PreCandidate(campaign)
                if response.kind == message::VoteKind::Trial && response.term == term.next() =>
            {
                campaign.votes.insert(sender.id);
            }
            core::RoleState::Candidate(campaign)
                if response.kind != message::VoteKind::Trial && response.term == term =>
            {
                campaign.votes.insert(sender.id);
            }
            _ => return,
        }
        self.conclude_campaign(now);
    }

    /// Goes on to the next step of a campaign once its votes form a quorum.
    fn conclude_campaign(&mut self, now: core::MonotonicTime) {
        match &self.role {
            core::RoleState::PreCandidate(campaign)
                if self.is_quorum(&campaign.votes, &campaign.lost) =>
            {
                self.start_campaign(message::VoteKind::Ordinary, now);
            }
            core::RoleState::Candidate(campaign)
                if self.is_quorum(&campaign.votes, &campaign.lost) =>
            {
                let lost = campaign.lost.clone();
                self.become_leader(lost, now);
            }
            _ => {}
        }
    }

    pub(super) fn receive_elect_now(
        &mut self,
        sender: &core::MessageSender,
        now: core::MonotonicTime,
    ) {
        let is_from_leader = sender.term == self.hard_state.term && self.leader == Some(sender.id);
        if is_from_leader && self.membership.current().is_voter(self.own_id()) {
            self.start_campaign(message::VoteKind::Transfer, now);
        }
    }

    /// Returns whether this member may start an election.
    ///
    /// A voter that a change removes still may until the change is committed and confirmed, as it
    /// can be the only member that has the whole log.
    fn may_campaign(&self) -> bool {
        let own_id = self.own_id();
        let committed = self.membership.at(self.commit);
        let replaced = self.membership.replaced(self.commit);
        self.membership.current().is_voter(own_id)
            || committed.is_voter(own_id)
            || replaced.is_some_and(|list| list.is_voter(own_id))
    }

    fn start_campaign(&mut self, kind: message::VoteKind, now: core::MonotonicTime) {
        let term = self.hard_state.term.next();
        let campaign = core::CampaignState {
            votes: collections::BTreeSet::from([self.own_id()]),
            lost: self.lost.clone(),
        };
        let own_vote_suffices = self.is_quorum(&campaign.votes, &campaign.lost);
        if kind == message::VoteKind::Trial {
            self.role = core::RoleState::PreCandidate(campaign);
        } else {
            self.role = core::RoleState::Candidate(campaign);
            self.leader = None;
            self.set_hard_state(log::HardState {
                term,
                voted_for: Some(self.own_id()),
            });
            self.election_deadline = now + self.jitter.randomize(self.settings.election_timeout);
        }
        if own_vote_suffices {
            self.conclude_campaign(now);
            return;
        }
        self.request_votes(message::VoteRequest {
            kind,
            term,
            last: self.log.last(),
        });
    }

    fn request_votes(&mut self, request: message::VoteRequest) {
        let voters: collections::BTreeSet<member::MemberId> = self
            .membership
            .in_force(self.commit)
            .flat_map(member::MembershipList::voters)
            .collect();
        let receivers: Vec<core::MessageSender> = voters
            .into_iter()
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
        for receiver in receivers {
            self.send_after_sync(&receiver, message::MessageBody::VoteRequest(request));
        }
    }

    /// Returns whether a vote request is ignored because a leader's lease may still be valid: this
    /// member's own, or one that it acknowledged within the last election timeout.
    ///
    /// Requests of a leadership transfer are not ignored: the leader has given up its lease.
    fn ignores_vote_request(&self, kind: message::VoteKind, now: core::MonotonicTime) -> bool {
        if kind == message::VoteKind::Transfer {
            return false;
        }
        match self.role {
            core::RoleState::Leader(_) => true,
            _ => now < self.last_leader_contact + self.settings.election_timeout,
        }
    }

    fn would_grant_vote(&self, request: &message::VoteRequest) -> bool {
        request.term > self.hard_state.term && request.last >= self.log.last()
    }

    fn decide_vote(
        &mut self,
        sender: &core::MessageSender,
        request: &message::VoteRequest,
        now: core::MonotonicTime,
    ) -> bool {
        if request.term > self.hard_state.term {
            self.become_follower(request.term, None, now);
        }
        let can_vote = self
            .hard_state
            .voted_for
            .is_none_or(|candidate| candidate == sender.id);
        let granted =
            request.term == self.hard_state.term && can_vote && request.last >= self.log.last();
        if granted && self.hard_state.voted_for.is_none() {
            self.role = core::RoleState::Follower;
            self.set_hard_state(log::HardState {
                term: request.term,
                voted_for: Some(sender.id),
            });
            self.election_deadline = now + self.jitter.randomize(self.settings.election_timeout);
        }
        granted
    }

    fn set_hard_state(&mut self, hard_state: log::HardState) {
        self.hard_state = hard_state;
        self.output.hard_state = Some(hard_state);
    }
}
