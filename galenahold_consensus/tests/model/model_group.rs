//! A group whose messages, clocks and disks the model holds in its hands.

use std::collections;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;

use crate::checks;
use crate::member_state;
use crate::model_step;

const MEMBERS: usize = 5;
const FIRST_VOTERS: usize = 3;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The members, the messages under way and what was promised so far.
#[derive(Debug)]
pub(crate) struct ModelGroup {
    pub(crate) members: Vec<member_state::MemberState>,
    pub(crate) real_nanos: u64,
    pub(crate) ledger: checks::PromiseLedger,
    genesis: member::MembershipList,
    under_way: Vec<core::OutgoingMessage>,
    sides: u32,
    deaf: Option<usize>,
    reads: collections::BTreeMap<core::ReadTicket, log::LogIndex>,
    commands: u64,
}

impl ModelGroup {
    pub(crate) fn new() -> Self {
        let profiles = (0..FIRST_VOTERS).map(member_state::MemberState::profile);
        let genesis = member::MembershipList::of_voters(profiles.collect());
        let mut group = Self {
            members: (0..MEMBERS).map(member_state::MemberState::new).collect(),
            real_nanos: 0,
            ledger: checks::PromiseLedger::default(),
            genesis,
            under_way: Vec::new(),
            sides: 0,
            deaf: None,
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
                if let Some(picked) = self.pick(message) {
                    let outgoing = self.under_way.remove(picked);
                    self.deliver(outgoing);
                }
            }
            model_step::ModelStep::Lose { message } => {
                if let Some(picked) = self.pick(message) {
                    self.under_way.remove(picked);
                }
            }
            model_step::ModelStep::Double { message } => {
                if let Some(picked) = self.pick(message) {
                    let outgoing = self.under_way[picked].clone();
                    self.deliver(outgoing);
                }
            }
            model_step::ModelStep::Split { sides } => self.sides = sides,
            model_step::ModelStep::Isolate { member } => self.sides = 1 << member,
            model_step::ModelStep::Deafen { member } => self.deaf = Some(member),
            model_step::ModelStep::Heal => self.heal(),
            model_step::ModelStep::Bounce { member } => {
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
                self.at_leader(member, |node, now| {
                    node.transfer_leadership(target, now);
                });
            }
            model_step::ModelStep::Snapshot { member } => {
                self.members[member % MEMBERS].take_snapshot();
            }
        }
        self.check();
    }

    /// Heals everything and lets time pass, then returns whether a new command is committed.
    pub(crate) fn recovers(&mut self) -> bool {
        self.heal();
        for number in 0..MEMBERS {
            self.members[number].crash_at_sync = None;
            self.start(number);
        }
        let before = self.ledger.highest_committed();
        for round in 0..400 {
            self.run(1);
            self.propose(round);
        }
        self.ledger.highest_committed() > before
    }

    fn heal(&mut self) {
        self.sides = 0;
        self.deaf = None;
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
        self.ledger.check(&mut self.members, real_nanos);
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
            for outgoing in std::mem::take(&mut self.under_way) {
                self.deliver(outgoing);
            }
        }
    }

    /// Takes the messages under way out of the group's hands.
    pub(crate) fn take_under_way(&mut self) -> Vec<core::OutgoingMessage> {
        std::mem::take(&mut self.under_way)
    }

    /// Delivers the messages from one member to another; the others are handed out.
    pub(crate) fn deliver_between(&mut self, from: usize, to: usize) -> Vec<core::OutgoingMessage> {
        let (picked, others) = self.take_under_way().into_iter().partition(|outgoing| {
            number_of(Some(outgoing.message.from)) == Some(from)
                && number_of(outgoing.message.to) == Some(to)
        });
        let picked: Vec<core::OutgoingMessage> = picked;
        for outgoing in picked {
            self.deliver(outgoing);
        }
        others
    }

    pub(crate) fn deliver(&mut self, outgoing: core::OutgoingMessage) {
        let to = number_of(outgoing.message.to);
        let from = number_of(Some(outgoing.message.from));
        let (Some(to), Some(from)) = (to, from) else {
            return;
        };
        let same_side = (self.sides >> to) & 1 == (self.sides >> from) & 1;
        if same_side && self.deaf != Some(to) {
            self.with_node(to, |node, now| node.receive(outgoing.message, now));
        }
    }

    fn propose(&mut self, member: usize) {
        self.commands += 1;
        let command = self.commands.to_le_bytes().to_vec();
        self.at_leader(member, |node, _| {
            let _ = node.propose(command.into());
        });
    }

    fn read(&mut self, member: usize) {
        let ticket = self.new_ticket();
        self.at_leader(member, |node, now| node.read(ticket, now));
    }

    /// Reads at one member, whether it leads or not.
    pub(crate) fn read_at(&mut self, number: usize) {
        let ticket = self.new_ticket();
        self.with_node(number, |node, now| node.read(ticket, now));
    }

    fn new_ticket(&mut self) -> core::ReadTicket {
        let ticket = core::ReadTicket::new(self.reads.len() as u64);
        let floor = self.ledger.highest_committed();
        self.reads.insert(ticket, floor);
        ticket
    }

    fn change(&mut self, member: usize, subject: usize, kind: u8) {
        let profile = member_state::MemberState::profile(subject);
        let change = match kind % 3 {
            0 => member::MembershipChange::AddLearner(profile),
            1 => member::MembershipChange::Promote(profile.id),
            _ => member::MembershipChange::Remove(profile.id),
        };
        self.at_leader(member, |node, now| {
            let _ = node.change_membership(&change, now);
        });
    }

    /// Acts on a member that leads, or on the picked one if none does.
    fn at_leader(
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
        let picked = if leaders.is_empty() {
            member % MEMBERS
        } else {
            leaders[member % leaders.len()]
        };
        self.with_node(picked, action);
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
        self.carry_out(number);
    }

    fn carry_out(&mut self, number: usize) {
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
            assert!(!output.retired, "a member with its own disk was retired");
            self.under_way.extend(output.immediate.iter().cloned());
            let crash = state.crash_at_sync.filter(|_| output.needs_sync());
            if crash != Some(false) {
                state.persist(&output);
            }
            if crash.is_some() {
                state.crash();
                return;
            }
            self.settle(number, output);
        }
    }

    fn settle(&mut self, number: usize, output: core::NodeOutput) {
        self.under_way.extend(output.after_sync);
        let state = &mut self.members[number];
        let node = state.node.as_mut().expect("live member");
        if let Some(last) = output.entries.last() {
            node.persisted(last.position);
        }
        state.disk.marks = node.marks().iter().copied().collect();
        if let Some(image) = &output.install {
            self.ledger.note_installed(image);
            state.applied = image.meta.position.index;
        }
        for entry in output.committed {
            assert_eq!(entry.position.index, state.applied.next(), "gap in commits");
            state.applied = entry.position.index;
            self.ledger.note_committed(&entry);
        }
        for verdict in output.reads {
            if let core::ReadOutcome::Ready { ticket, index } = verdict {
                let floor = self.reads[&ticket];
                assert!(index >= floor, "read at {index} is older than {floor}");
            }
        }
    }

    fn pick(&self, message: usize) -> Option<usize> {
        message.checked_rem(self.under_way.len())
    }
}

fn number_of(id: Option<member::MemberId>) -> Option<usize> {
    (0..MEMBERS).find(|number| Some(member_state::MemberState::profile(*number).id) == id)
}
