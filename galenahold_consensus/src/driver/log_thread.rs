//! Event loop of a member.

use std::sync;
use std::time;

use crate::bootstrap;
use crate::core;
use crate::driver;
use crate::driver::log_handle;
use crate::driver::status_report;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

/// The thread that runs a member: it owns the Raft node, data folder, state machine and transport.
pub(super) struct LogThread<S: driver::StateMachine, T, B: storage::StorageBackend> {
    pub(super) settings: driver::DriverSettings,
    pub(super) node_settings: core::NodeSettings,
    pub(super) clock: driver::DriverClock,
    pub(super) bootstrap: bootstrap::GroupBootstrap,
    pub(super) folder: storage::MemberFolder<B>,
    pub(super) machine: S,
    pub(super) transport: T,
    pub(super) inbox: crossbeam_channel::Receiver<driver::LogInput<S>>,
    pub(super) view: sync::Arc<driver::SharedView>,
    pub(super) writer: driver::SnapshotWriter,
    pub(super) node: Option<core::RaftNode>,
    pub(super) recovered: core::RecoveredState,
    pub(super) applied: log::LogIndex,
    pub(super) bytes_since_snapshot: u64,
    /// No snapshot is written before this time, since the last one could not be written.
    pub(super) snapshot_retry_at: core::MonotonicTime,
    pub(super) proposals: driver::PendingProposals<S::Outcome>,
    pub(super) reads: driver::PendingReads<S>,
    pub(super) joiners: bootstrap::JoinerTable,
    pub(super) suspension: Option<driver::StorageSuspension>,
    pub(super) failure: Option<sync::Arc<str>>,
    pub(super) retired: bool,
    /// Whether this member is about to stop.
    pub(super) leaving: bool,
    pub(super) leaving_announced_at: core::MonotonicTime,
    pub(super) watermarks_saved_at: core::MonotonicTime,
    pub(super) status_published_at: core::MonotonicTime,
}

impl<S, T, B> LogThread<S, T, B>
where
    S: driver::StateMachine,
    T: driver::MessageTransport,
    B: storage::StorageBackend,
{
    const MIN_WAIT: time::Duration = time::Duration::from_millis(1);
    const MAX_WAIT: time::Duration = time::Duration::from_millis(20);
    const STATUS_INTERVAL: time::Duration = time::Duration::from_millis(20);
    const LEAVING_INTERVAL: time::Duration = time::Duration::from_millis(100);
    const WATERMARK_INTERVAL: time::Duration = time::Duration::from_secs(1);

    pub(super) fn new(parts: driver::ThreadParts<S, T, B>) -> Self {
        let now = parts.clock.now();
        let snapshot = parts.opened.recovered.snapshot.as_ref();
        let applied = snapshot.map_or(log::LogIndex::ZERO, |image| image.meta.position.index);
        Self {
            settings: parts.settings,
            node_settings: parts.node_settings,
            clock: parts.clock,
            bootstrap: parts.bootstrap,
            folder: storage::MemberFolder::Open(parts.opened.store),
            machine: parts.machine,
            transport: parts.transport,
            inbox: parts.inbox,
            view: parts.view,
            writer: parts.writer,
            node: None,
            recovered: parts.opened.recovered,
            applied,
            bytes_since_snapshot: 0,
            snapshot_retry_at: now,
            proposals: driver::PendingProposals::new(),
            reads: driver::PendingReads::new(),
            joiners: bootstrap::JoinerTable::default(),
            suspension: None,
            failure: None,
            retired: false,
            leaving: false,
            leaving_announced_at: now,
            watermarks_saved_at: now,
            status_published_at: now,
        }
    }

    pub(super) fn run(mut self) {
        let _guard = driver::StopGuard::new(sync::Arc::clone(&self.view));
        self.start_node();
        while self.run_once() {}
        self.shut_down();
    }

    /// Processes a batch of inputs, or a timeout; returns false when the thread must stop.
    fn run_once(&mut self) -> bool {
        match self.inbox.recv_timeout(self.wait_timeout()) {
            Ok(driver::LogInput::Stop) | Err(crossbeam_channel::RecvTimeoutError::Disconnected) => {
                return false;
            }
            Ok(input) => self.handle_input(input),
            Err(crossbeam_channel::RecvTimeoutError::Timeout) => {}
        }
        for _ in 1..self.settings.batch_inputs {
            match self.inbox.try_recv() {
                Ok(driver::LogInput::Stop) => return false,
                Ok(input) => self.handle_input(input),
                Err(_) => break,
            }
        }
        self.tick();
        self.process_outputs();
        self.publish();
        true
    }

    /// Returns how long the thread may wait for an input before the next timer is due.
    fn wait_timeout(&self) -> time::Duration {
        let now = self.clock.now();
        let wake_at = self.node.as_ref().map(core::RaftNode::wake_at);
        let due_in = wake_at.map_or(Self::MAX_WAIT, |wake_at| wake_at.since(now));
        due_in.clamp(Self::MIN_WAIT, Self::MAX_WAIT)
    }

    fn handle_input(&mut self, input: driver::LogInput<S>) {
        match input {
            driver::LogInput::Message(message) => self.receive_message(*message),
            driver::LogInput::Propose { command, reply } => self.propose(command, reply),
            driver::LogInput::Read {
                linearizable,
                reply,
            } => self.read(linearizable, reply),
            driver::LogInput::Change { change, reply } => self.change(&change, reply),
            driver::LogInput::Transfer { target, started } => {
                let _ = started.send(self.transfer(target));
            }
            driver::LogInput::Leave => {
                self.leaving = true;
                self.announce_leaving(self.clock.now());
            }
            driver::LogInput::SnapshotWritten { image, outcome } => {
                self.snapshot_written(image, &outcome);
            }
            driver::LogInput::Stop => {}
        }
    }

    fn tick(&mut self) {
        if self.failure.is_some() {
            return;
        }
        let now = self.clock.now();
        if self.suspension.is_some() {
            self.resume_if_due(now);
            return;
        }
        let Some(node) = self.node.as_mut() else {
            self.discover_group(now);
            return;
        };
        node.tick(now);
        if self.leaving && now.since(self.leaving_announced_at) >= Self::LEAVING_INTERVAL {
            self.announce_leaving(now);
        }
        self.save_watermarks_if_due(now);
    }

    fn announce_leaving(&mut self, now: core::MonotonicTime) {
        self.leaving_announced_at = now;
        if let Some(node) = self.node.as_mut() {
            node.announce_leaving(now);
        }
    }

    fn save_watermarks_if_due(&mut self, now: core::MonotonicTime) {
        let Some(node) = self.node.as_ref() else {
            return;
        };
        if now.since(self.watermarks_saved_at) >= Self::WATERMARK_INTERVAL {
            self.watermarks_saved_at = now;
            let marks = node.marks().iter().copied().collect();
            self.write(|store| store.persist_watermarks(marks));
        }
    }

    /// Processes the outputs of the node until there are none.
    fn process_outputs(&mut self) {
        while let Some(node) = self.node.as_mut() {
            let output = node.take_output(self.clock.now());
            if output.is_empty() {
                break;
            }
            if output.retired {
                self.retire();
                return;
            }
            if !self.process_output(output) {
                return;
            }
        }
        self.drop_proposals_unless_leader();
        self.take_snapshot_if_due();
    }

    /// Processes one output in the order that makes state durable before it is acknowledged.
    ///
    /// Returns false if the member is suspended or has failed.
    fn process_output(&mut self, mut output: core::NodeOutput) -> bool {
        self.publish_lease();
        self.send(std::mem::take(&mut output.immediate));
        if output.needs_sync() && !self.write(|store| store.persist(&output)) {
            return false;
        }
        self.send(std::mem::take(&mut output.after_sync));
        if let Some(image) = output.install.take()
            && !self.install_snapshot(&image)
        {
            return false;
        }
        if let (Some(node), Some(last)) = (self.node.as_mut(), output.entries.last()) {
            node.persisted(last.position);
        }
        self.apply(output.committed);
        self.resolve_reads(&output.reads);
        true
    }

    fn send(&mut self, messages: Vec<core::OutgoingMessage>) {
        for outgoing in messages {
            self.transport.send(&outgoing.to, outgoing.message);
        }
    }

    fn apply(&mut self, committed: Vec<log::LogEntry>) {
        if committed.is_empty() {
            return;
        }
        let now = self.clock.now();
        let node = self.node.as_ref();
        let lease = node.and_then(|node| node.lease_until(now));
        let lease_valid = lease.is_some_and(|until| now < until);
        for entry in committed {
            let position = entry.position;
            if position.index <= self.applied {
                // Applied before the data folder was opened again.
                continue;
            }
            self.applied = position.index;
            match entry.payload {
                log::EntryPayload::Blank => {}
                log::EntryPayload::Command(command) => {
                    self.bytes_since_snapshot += command.len() as u64;
                    let outcome = self.machine.apply(position.index, position.term, &command);
                    if let Some(reply) = self.proposals.take(position) {
                        reply.answer(outcome_if_leased(lease_valid, position, outcome));
                    }
                }
                log::EntryPayload::Membership(list) => {
                    self.joiners.remove_members(&list);
                    if let Some(reply) = self.proposals.take_change(position) {
                        reply.answer(Ok(position));
                    }
                }
            }
        }
    }

    fn resolve_reads(&mut self, outcomes: &[core::ReadOutcome]) {
        let refusal = driver::ReadError::NotLeader {
            hint: self.leader(),
        };
        for outcome in outcomes {
            self.reads.resolve(*outcome, &refusal);
        }
        self.reads.run(self.applied, &self.machine);
    }

    fn receive_message(&mut self, message: message::ConsensusMessage) {
        if self.failure.is_some() {
            return;
        }
        if let Some(suspension) = &mut self.suspension {
            suspension.observe(&message);
            return;
        }
        if let message::MessageBody::Founding(body) = message.body {
            self.receive_bootstrap(&message.from_endpoint, body);
            return;
        }
        match self.node.as_mut() {
            Some(node) => node.receive(message, self.clock.now()),
            None => self.greet_sender(&message.from_endpoint),
        }
    }

    fn drop_proposals_unless_leader(&mut self) {
        let leads = self
            .node
            .as_ref()
            .is_some_and(|node| node.role() == core::NodeRole::Leader);
        if !leads && !self.proposals.is_empty() {
            self.proposals.fail_all();
        }
    }

    fn retire(&mut self) {
        let reason = match self.folder.write(storage::LogStore::retire) {
            Ok(()) => "the data folder is an older copy; empty it and add it as a new member",
            Err(_) => "the data folder is an older copy and could not be marked as retired",
        };
        self.retired = true;
        self.fail(reason);
    }

    /// Stops the member's participation for good: nothing is sent or acknowledged any more.
    pub(super) fn fail(&mut self, reason: &str) {
        ::log::error!("the member has failed and no longer participates in the group: {reason}");
        self.failure = Some(reason.into());
        self.suspension = None;
        self.node = None;
        self.view.set_lease(None);
        self.proposals.fail_all();
        self.reads.fail(&driver::ReadError::Storage);
    }

    fn publish(&mut self) {
        self.publish_lease();
        self.view.publish_role(&self.role_event());
        let now = self.clock.now();
        if now.since(self.status_published_at) >= Self::STATUS_INTERVAL {
            self.status_published_at = now;
            self.publish_status(now);
        }
    }

    fn publish_lease(&self) {
        let node = self.node.as_ref().filter(|node| node.is_ready_leader());
        let now = self.clock.now();
        let lease = node.and_then(|node| node.lease_until(now));
        self.view.set_lease(lease);
    }

    fn publish_status(&self, now: core::MonotonicTime) {
        self.view.set_status(self.current_status(now));
    }

    pub(super) fn current_status(&self, now: core::MonotonicTime) -> driver::LogStatus {
        let unjoined = || driver::LogStatus::unjoined(self.node_settings.profile.clone());
        let suspension = self.suspension.as_ref();
        let mut status = suspension.map_or_else(unjoined, driver::StorageSuspension::status);
        status.cluster = self.folder.identity().cluster;
        status.applied = self.applied;
        status.joiners = self.joiners.current(now);
        status.failure.clone_from(&self.failure);
        if let Some(node) = &self.node {
            status_report::fill(&mut status, node, now);
        }
        if self.retired {
            status.role = core::NodeRole::Retired;
        }
        status
    }

    fn role_event(&self) -> driver::RoleEvent {
        if self.failure.is_some() {
            return driver::RoleEvent::Failed;
        }
        let since = self.node.as_ref().and_then(core::RaftNode::leading_since);
        if let Some(since) = since {
            return driver::RoleEvent::Leading { since };
        }
        let suspension = self.suspension.as_ref();
        let suspended_term = || suspension.map(driver::StorageSuspension::term);
        let term = self.node.as_ref().map(core::RaftNode::term);
        driver::RoleEvent::Following {
            term: term.or_else(suspended_term).unwrap_or_default(),
            leader: self.leader(),
        }
    }

    pub(super) fn not_leader_error(&self) -> driver::ProposeError {
        if self.failure.is_some() {
            return driver::ProposeError::Storage;
        }
        driver::ProposeError::NotLeader {
            hint: self.leader(),
        }
    }

    pub(super) fn leader(&self) -> Option<member::MemberProfile> {
        match &self.suspension {
            Some(suspension) => suspension.leader().cloned(),
            None => status_report::leader(self.node.as_ref()?),
        }
    }

    fn shut_down(mut self) {
        self.proposals.fail_all();
        self.reads.fail(&driver::ReadError::Stopped);
        while let Ok(input) = self.inbox.try_recv() {
            let error = driver::ProposeError::Stopped;
            log_handle::refuse(input, error, driver::ReadError::Stopped);
        }
        self.publish_status(self.clock.now());
        drop(self.inbox);
        self.writer.join();
    }
}

/// Returns the outcome if the lease is valid; without a lease it must not be acknowledged.
fn outcome_if_leased<O>(
    lease_valid: bool,
    position: log::LogPosition,
    outcome: O,
) -> Result<driver::CommittedOutcome<O>, driver::ProposeError> {
    if lease_valid {
        Ok(driver::CommittedOutcome { position, outcome })
    } else {
        Err(driver::ProposeError::OutcomeUnknown)
    }
}
