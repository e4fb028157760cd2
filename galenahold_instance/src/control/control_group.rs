//! Runs this instance's member of the control group on a replicated log.

use std::future;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::message as raft_message;
use galenahold_domain::control;
use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;
use tokio::sync::oneshot;

use crate::control as group;

/// The timeout of a proposal.
const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The maximum size of a command; a declared document of up to 4 MiB has to fit.
const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;

/// The outcome of a command and its position in the log.
pub(crate) type CommittedOutcome = driver::CommittedOutcome<control::ControlOutcome>;

/// This instance's member of the control group: the replicated log and the state that results from it.
pub(crate) struct ControlGroup {
    handle: driver::LogHandle<group::ControlMachine>,
    state: group::SharedState,
}

impl ControlGroup {
    /// Opens the data folder and starts the log.
    ///
    /// # Errors
    ///
    /// The data folder is unusable, or the log cannot read its content.
    pub(crate) fn start(
        settings: group::MemberSettings,
        transport: group::LogTransport,
    ) -> Result<(Self, driver::ReplicatedLog<group::ControlMachine>), driver::StartError> {
        let state = group::SharedState::new();
        let machine = group::ControlMachine::new(state.clone());
        let log = driver::LogBuilder::new(settings.folder, &settings.name)
            .voters(settings.bootstrap_members)
            .may_found(settings.may_found)
            .address(&settings.address.to_string())
            .election_timeout(settings.election_timeout)
            .heartbeat_interval(settings.heartbeat)
            .clock_drift_permille(settings.clock_drift_permille)
            .command_bytes(MAX_COMMAND_BYTES)
            .start(machine, transport)?;
        let member = Self {
            handle: log.handle(),
            state,
        };
        Ok((member, log))
    }

    /// Returns the replicated state.
    pub(crate) fn state(&self) -> &group::SharedState {
        &self.state
    }

    /// Returns the handle of the replicated log.
    pub(crate) fn handle(&self) -> &driver::LogHandle<group::ControlMachine> {
        &self.handle
    }

    /// Returns whether this member waits for its data folder to accept writes.
    pub(crate) fn is_suspended(&self) -> bool {
        self.handle.status().suspension.is_some()
    }

    /// Returns the reason why this member can no longer participate, if there is one.
    ///
    /// A data folder that only refuses writes is no such reason: the member resumes by itself.
    pub(crate) fn fault(&self) -> Option<String> {
        let failure = || self.handle.status().failure.as_deref().map(str::to_owned);
        self.state.fault().map(str::to_owned).or_else(failure)
    }

    /// Returns whether this member is the leader, holds a valid lease and has applied all earlier commands.
    pub(crate) fn is_leader(&self) -> bool {
        self.handle.lease_valid_for().is_some() && self.handle.status().ready
    }

    /// Returns the current term if this member is the leader.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let status = self.handle.status();
        (status.ready && self.handle.lease_valid_for().is_some()).then(|| status.term.get())
    }

    /// Returns the leader known to this member.
    pub(crate) fn leader(&self) -> Option<name::InstanceName> {
        let status = self.handle.status();
        let leader = status.leader.as_ref()?;
        Some(name::InstanceName::from(leader.endpoint.name.as_str()))
    }

    /// Returns what this member tells others of the leader.
    pub(crate) fn leader_hint(&self) -> leader::LeaderHint {
        let status = self.handle.status();
        let leader = status.leader.as_ref();
        leader::LeaderHint {
            name: leader.map(|leader| name::InstanceName::from(leader.endpoint.name.as_str())),
            term: status.term.get(),
        }
    }

    /// Delivers a message from another member to the log.
    pub(crate) fn deliver(&self, encoded: &[u8]) {
        match raft_message::ConsensusMessage::decode(encoded) {
            Ok(message) => self.handle.deliver(message),
            Err(error) => log::debug!(error:% = error; "undecodable log message dropped"),
        }
    }

    /// Commits a command and returns its outcome.
    ///
    /// The call itself proposes the command, before the future is polled, so that commands are committed in
    /// the order of the calls.
    ///
    /// # Errors
    ///
    /// The error says whether the command may have been committed.
    pub(crate) fn command(
        &self,
        command: &control::ControlCommand,
    ) -> impl future::Future<Output = Result<control::ControlOutcome, group::CommandError>> + use<>
    {
        let committing = self.command_at(command);
        async move { Ok(committing.await?.outcome) }
    }

    /// Commits a command for another instance and returns the reply to it.
    pub(crate) async fn propose(&self, command: &control::ControlCommand) -> message::ControlReply {
        match self.command(command).await {
            Ok(outcome) => message::ControlReply::Outcome(outcome),
            Err(group::CommandError::NotCommitted) => {
                message::ControlReply::not_leader(self.leader_hint())
            }
            Err(group::CommandError::Unknown) => message::ControlReply::OutcomeUnknown,
        }
    }

    /// Commits a command and returns its outcome with its position in the log.
    ///
    /// # Errors
    ///
    /// The error says whether the command may have been committed.
    pub(crate) fn command_at(
        &self,
        command: &control::ControlCommand,
    ) -> impl future::Future<Output = Result<CommittedOutcome, group::CommandError>> + use<> {
        let (sender, receiver) = oneshot::channel();
        self.handle.propose_with(command.encode(), move |result| {
            // The caller may have stopped waiting.
            let _ = sender.send(result);
        });
        async move {
            let answered = tokio::time::timeout(PROPOSE_TIMEOUT, receiver).await;
            match answered {
                Ok(Ok(result)) => Ok(result?),
                Ok(Err(_)) | Err(_) => Err(group::CommandError::Unknown),
            }
        }
    }
}
