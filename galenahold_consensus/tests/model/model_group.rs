//! Simulated group whose messages, clocks and disks are controlled by the test.

use std::collections;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::message;

use crate::member_state;
use crate::model_step;
use crate::safety_checker;

const MEMBERS: usize = 5;
const INITIAL_VOTERS: usize = 3;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The members, the messages in flight and the safety checker.
#[derive(Debug)]
pub(crate) struct ModelGroup {
    pub(crate) members: Vec<member_state::MemberState>,
    pub(crate) real_nanos: u64,
    pub(crate) checker: safety_checker::SafetyChecker,
    genesis: member::MembershipList,
    in_flight: Vec<core::OutgoingMessage>,
    sides: u32,
    inbound_blocked: Option<usize>,
    /// Whether members echo stamps without a term, as earlier versions do.
    pub(crate) echoes_no_terms: bool,
    reads: collections::BTreeMap<core::ReadTicket, log::LogIndex>,
    commands: u64,
}

impl ModelGroup {
    pub(crate) fn new() -> Self {
        let profiles = (0..INITIAL_VOTERS).map(member_state::MemberState::profile);
        let genesis = member::MembershipList::of_voters(profiles.collect());
        let mut group = Self {
            members: (0..MEMBERS).map(member_state::MemberState::new).collect(),
            real_nanos: 0,
            checker: safety_checker::SafetyChecker::default(),
            genesis,
            in_flight: Vec::new(),
            sides: 0,
            inbound_blocked: None,
            echoes_no_terms: false,
            reads: collections::BTreeMap::new(),
            commands: 0,
        };
        for number in 0..MEMBERS {
            group.members[number].start(&group.genesis, 0);
        }
        group
    }

    pub(crate) fn step(&mut self, step: &model_step::ModelStep) {
        match *step {
            model_step::ModelStep::Advance { millis } => self.advance(millis, None),
            model_step::ModelStep::Freeze { member, millis } => {
                self.advance(millis, Some(member % MEMBERS));
            }
            model_step::ModelStep::DeliverAll { rounds } => self.deliver_all(rounds),
            model_step::ModelStep::Run { rounds } => self.run(rounds),
            model_step::ModelStep::Deliver { message } => {
                if let Some(selected) = self.select_message(message) {
                    let outgoing = self.in_flight.remove(selected);
                    self.deliver(outgoing);
                }
            }
            model_step::ModelStep::Discard { message } => {
                if let Some(selected) = self.select_message(message) {
                    self.in_flight.remove(selected);
                }
            }
            model_step::ModelStep::Duplicate { message } => {
                if let Some(selected) = self.select_message(message) {
                    let outgoing = self.in_flight[selected].clone();
                    self.deliver(outgoing);
                }
            }
            model_step::ModelStep::Partition { sides } => self.sides = sides,
            model_step::ModelStep::Isolate { member } => self.sides = 1 << member,
            model_step::ModelStep::BlockInbound { member } => self.inbound_blocked = Some(member),
            model_step::ModelStep::Heal => self.heal(),
            model_step::ModelStep::CrashAndRestart { member } => {
                self.members[member].crash();
                self.start(member);
            }
            model_step::ModelStep::Crash { member } => self.members[member % MEMBERS].crash(),
            model_step::ModelStep::CrashAtSync { member, durable } => {
                self.members[member % MEMBERS].crash_at_sync = Some(durable);
            }
            model_step::ModelStep::Restart { member } => {
                self.start(member % MEMBERS);
            }
            model_step::ModelStep::Propose { member } => self.propose(member),
            model_step::ModelStep::Read { member } => self.read(member),
            model_step::ModelStep::Change {
                member,
                subject,
                kind,
            } => self.change(member, subject % MEMBERS, kind),
            model_step::ModelStep::Transfer { member, target } => {
                let target = member_state::MemberState::profile(target % MEMBERS).id;
                self.with_leader(member, |node, now| {
                    node.transfer_leadership(target, now);
                });
            }
            model_step::ModelStep::Snapshot { member } => {
                self.members[member % MEMBERS].take_snapshot();
            }
        }
        self.check();
    }

    /// Ends all faults and lets time pass; returns whether a new command is committed.
    pub(crate) fn recovers(&mut self) -> bool {
        self.heal();
        for number in 0..MEMBERS {
            self.members[number].crash_at_sync = None;
            self.start(number);
        }
        let before = self.checker.highest_committed();
        for round in 0..400 {
            self.run(1);
            self.propose(round);
        }
        self.checker.highest_committed() > before
    }

    fn heal(&mut self) {
        self.sides = 0;
        self.inbound_blocked = None;
    }

    fn start(&mut self, number: usize) {
        self.members[number].start(&self.genesis, self.real_nanos);
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(10, None);
            self.deliver_all(2);
            self.check();
        }
    }

    pub(crate) fn check(&mut self) {
        let real_nanos = self.real_nanos;
        self.checker.check(&mut self.members, real_nanos);
    }

    fn advance(&mut self, millis: u64, frozen: Option<usize>) {
        self.real_nanos += millis * NANOS_PER_MILLI;
        for number in 0..MEMBERS {
            if Some(number) != frozen {
                self.with_node(number, core::RaftNode::tick);
            }
        }
    }

    fn deliver_all(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for outgoing in std::mem::take(&mut self.in_flight) {
                self.deliver(outgoing);
            }
        }
    }

    /// Removes and returns all messages in flight.
    pub(crate) fn take_in_flight(&mut self) -> Vec<core::OutgoingMessage> {
        std::mem::take(&mut self.in_flight)
    }

    /// Delivers the messages from one member to another; removes and returns all other messages.
    pub(crate) fn deliver_between(&mut self, from: usize, to: usize) -> Vec<core::OutgoingMessage> {
        let (selected, others) = self.take_in_flight().into_iter().partition(|outgoing| {
            number_of(Some(outgoing.message.from)) == Some(from)
                && number_of(outgoing.message.to) == Some(to)
        });
        let selected: Vec<core::OutgoingMessage> = selected;
        for outgoing in selected {
            self.deliver(outgoing);
        }
        others
    }

    pub(crate) fn deliver(&mut self, mut outgoing: core::OutgoingMessage) {
        if self.echoes_no_terms
            && let Some(probe) = echo_mut(&mut outgoing.message.body)
        {
            probe.term = log::Term::ZERO;
        }
        let to = number_of(outgoing.message.to);
        let from = number_of(Some(outgoing.message.from));
        let (Some(to), Some(from)) = (to, from) else {
            return;
        };
        let same_side = (self.sides >> to) & 1 == (self.sides >> from) & 1;
        if same_side && self.inbound_blocked != Some(to) {
            self.with_node(to, |node, now| node.receive(outgoing.message, now));
        }
    }

    fn propose(&mut self, member: usize) {
        self.commands += 1;
        let command = self.commands.to_le_bytes().to_vec();
        self.with_leader(member, |node, _| {
            let _ = node.propose(command.into());
        });
    }

    fn read(&mut self, member: usize) {
        let ticket = self.new_ticket();
        self.with_leader(member, |node, now| node.read(ticket, now));
    }

    /// Starts a read at a member, whether it leads or not.
    pub(crate) fn read_at(&mut self, number: usize) {
        let ticket = self.new_ticket();
        self.with_node(number, |node, now| node.read(ticket, now));
    }

    fn new_ticket(&mut self) -> core::ReadTicket {
        let ticket = core::ReadTicket::new(self.reads.len() as u64);
        let min_index = self.checker.highest_committed();
        self.reads.insert(ticket, min_index);
        ticket
    }

    fn change(&mut self, member: usize, subject: usize, kind: u8) {
        let profile = member_state::MemberState::profile(subject);
        let change = match kind % 3 {
            0 => member::MembershipChange::AddLearner(profile),
            1 => member::MembershipChange::Promote(profile.id),
            _ => member::MembershipChange::Remove(profile.id),
        };
        self.with_leader(member, |node, now| {
            let _ = node.change_membership(&change, now);
        });
    }

    /// Runs an action on a leader, or on the given member if there is none.
    fn with_leader(
        &mut self,
        member: usize,
        action: impl FnOnce(&mut core::RaftNode, core::MonotonicTime),
    ) {
        let leaders: Vec<usize> = (0..MEMBERS)
            .filter(|number| {
                let node = self.members[*number].node.as_ref();
                node.is_some_and(|node| node.role() == core::NodeRole::Leader)
            })
            .collect();
        let selected = if leaders.is_empty() {
            member % MEMBERS
        } else {
            leaders[member % leaders.len()]
        };
        self.with_node(selected, action);
    }

    fn with_node(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut core::RaftNode, core::MonotonicTime),
    ) {
        let now = self.members[number].clock(self.real_nanos);
        let Some(node) = self.members[number].node.as_mut() else {
            return;
        };
        action(node, now);
        self.process_outputs(number);
    }

    fn process_outputs(&mut self, number: usize) {
        loop {
            let state = &mut self.members[number];
            let now = state.clock(self.real_nanos);
            let Some(node) = state.node.as_mut() else {
                return;
            };
            let output = node.take_output(now);
            if output.is_empty() {
                return;
            }
            assert!(
                !output.retired,
                "a member whose disk is up to date was retired"
            );
            self.in_flight.extend(output.immediate.iter().cloned());
            let crash = state.crash_at_sync.filter(|_| output.needs_sync());
            if crash != Some(false) {
                state.persist(&output);
            }
            if crash.is_some() {
                state.crash();
                return;
            }
            self.apply_output(number, output);
        }
    }

    fn apply_output(&mut self, number: usize, output: core::NodeOutput) {
        self.in_flight.extend(output.after_sync);
        let state = &mut self.members[number];
        let node = state.node.as_mut().expect("live member");
        if let Some(last) = output.entries.last() {
            node.persisted(last.position);
        }
        state.disk.marks = node.marks().iter().copied().collect();
        if let Some(image) = &output.install {
            self.checker.check_installed(image);
            state.applied = image.meta.position.index;
        }
        for entry in output.committed {
            assert_eq!(
                entry.position.index,
                state.applied.next(),
                "committed entries have a gap"
            );
            state.applied = entry.position.index;
            self.checker.record_commit(&entry);
        }
        for outcome in output.reads {
            if let core::ReadOutcome::Ready { ticket, index } = outcome {
                let min_index = self.reads[&ticket];
                assert!(
                    index >= min_index,
                    "a read at {index} misses commits up to {min_index}"
                );
            }
        }
    }

    fn select_message(&self, message: usize) -> Option<usize> {
        message.checked_rem(self.in_flight.len())
    }
}

/// Returns the stamp that a response echoes.
fn echo_mut(body: &mut message::MessageBody) -> Option<&mut message::ProbeStamp> {
    match body {
        message::MessageBody::AppendResponse(response) => Some(&mut response.probe),
        message::MessageBody::HeartbeatResponse { probe }
        | message::MessageBody::SnapshotProgress { probe, .. } => Some(probe),
        _ => None,
    }
}

fn number_of(id: Option<member::MemberId>) -> Option<usize> {
    (0..MEMBERS).find(|number| Some(member_state::MemberState::profile(*number).id) == id)
}
