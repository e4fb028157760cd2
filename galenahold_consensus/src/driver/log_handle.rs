//! [`LogHandle`].

use std::sync;
use std::time;

use crate::driver;
use crate::log;
use crate::member;
use crate::message;

/// Reaches a replicated log from any thread.
pub struct LogHandle<S: driver::StateMachine> {
    inbox: crossbeam_channel::Sender<driver::LogInput<S>>,
    view: sync::Arc<driver::SharedView>,
}

impl<S: driver::StateMachine> Clone for LogHandle<S> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            view: sync::Arc::clone(&self.view),
        }
    }
}

impl<S: driver::StateMachine> LogHandle<S> {
    pub(super) fn new(
        inbox: crossbeam_channel::Sender<driver::LogInput<S>>,
        view: sync::Arc<driver::SharedView>,
    ) -> Self {
        Self { inbox, view }
    }

    /// Proposes a command and blocks until it is applied, or the time is over.
    ///
    /// # Errors
    ///
    /// [`driver::ProposeErrorKind`] tells whether the command may have been committed.
    pub fn propose(
        &self,
        command: impl Into<bytes::Bytes>,
        timeout: time::Duration,
    ) -> Result<driver::CommittedOutcome<S::Outcome>, driver::ProposeError> {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        self.propose_with(command, move |result| {
            let _ = sender.send(result);
        });
        receiver
            .recv_timeout(timeout)
            .unwrap_or(Err(driver::ProposeError::OutcomeUnknown))
    }

    /// Proposes a command without blocking; `reply` is called once.
    ///
    /// The call comes from the log's thread, or from this one if the command is refused at once;
    /// it must not block.
    pub fn propose_with(
        &self,
        command: impl Into<bytes::Bytes>,
        reply: impl FnOnce(Result<driver::CommittedOutcome<S::Outcome>, driver::ProposeError>)
        + Send
        + 'static,
    ) {
        self.submit(driver::LogInput::Propose {
            command: command.into(),
            reply: driver::CommandReply::new(reply),
        });
    }

    /// Reads the state as it is after all commands that were acknowledged before the call.
    ///
    /// # Errors
    ///
    /// The member does not lead, or no quorum has confirmed in time that it does.
    pub fn read<R: Send + 'static>(
        &self,
        timeout: time::Duration,
        reader: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, driver::ReadError> {
        self.read_blocking(true, timeout, reader)
    }

    /// Reads this member's own state, which may be old, whether it leads or not.
    ///
    /// # Errors
    ///
    /// The log has stopped, is busy, or has not answered in time.
    pub fn read_local<R: Send + 'static>(
        &self,
        timeout: time::Duration,
        reader: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, driver::ReadError> {
        self.read_blocking(false, timeout, reader)
    }

    /// Like [`LogHandle::read`] without blocking; `reply` is called once, as in
    /// [`LogHandle::propose_with`].
    pub fn read_with(&self, reply: impl FnOnce(Result<&S, driver::ReadError>) + Send + 'static) {
        self.submit(driver::LogInput::Read {
            linearizable: true,
            reply: driver::ReadReply::new(reply),
        });
    }

    /// Like [`LogHandle::read_local`] without blocking; `reply` is called once, as in
    /// [`LogHandle::propose_with`].
    pub fn read_local_with(
        &self,
        reply: impl FnOnce(Result<&S, driver::ReadError>) + Send + 'static,
    ) {
        self.submit(driver::LogInput::Read {
            linearizable: false,
            reply: driver::ReadReply::new(reply),
        });
    }

    /// Takes in a message from another member; drops it if too many wait.
    pub fn deliver(&self, message: message::ConsensusMessage) {
        let _ = self
            .inbox
            .try_send(driver::LogInput::Message(Box::new(message)));
    }

    /// Returns the member's state at a moment shortly ago.
    #[must_use]
    pub fn status(&self) -> sync::Arc<driver::LogStatus> {
        self.view.status()
    }

    /// Returns for how long from now no other member can lead.
    ///
    /// None if the member does not lead or its lease has run out. The answer comes from the clock
    /// at the moment of the call.
    #[must_use]
    pub fn lease_valid_for(&self) -> Option<time::Duration> {
        self.view.lease_valid_for()
    }

    /// Returns a channel that gets the present role at once and then each change.
    #[must_use]
    pub fn subscribe(&self) -> crossbeam_channel::Receiver<driver::RoleEvent> {
        self.view.subscribe()
    }

    /// Adds a data folder that receives the log without voting; [`driver::LogStatus::joiners`]
    /// lists those that ask for it.
    ///
    /// # Errors
    ///
    /// The change was refused, or its outcome is unknown.
    pub fn add_learner(
        &self,
        profile: member::MemberProfile,
        timeout: time::Duration,
    ) -> Result<log::LogPosition, driver::ChangeError> {
        self.change(member::MembershipChange::AddLearner(profile), timeout)
    }

    /// Turns a learner that has caught up into a voter.
    ///
    /// # Errors
    ///
    /// The change was refused, or its outcome is unknown.
    pub fn promote(
        &self,
        id: member::MemberId,
        timeout: time::Duration,
    ) -> Result<log::LogPosition, driver::ChangeError> {
        self.change(member::MembershipChange::Promote(id), timeout)
    }

    /// Takes a member out.
    ///
    /// # Errors
    ///
    /// The change was refused, or its outcome is unknown.
    pub fn remove(
        &self,
        id: member::MemberId,
        timeout: time::Duration,
    ) -> Result<log::LogPosition, driver::ChangeError> {
        self.change(member::MembershipChange::Remove(id), timeout)
    }

    /// Changes the membership without blocking; `reply` is called once, as in
    /// [`LogHandle::propose_with`].
    pub fn change_with(
        &self,
        change: member::MembershipChange,
        reply: impl FnOnce(Result<log::LogPosition, driver::ChangeError>) + Send + 'static,
    ) {
        self.submit(driver::LogInput::Change {
            change,
            reply: driver::CommandReply::new(reply),
        });
    }

    /// Begins to hand leadership to another voter; false if that cannot be.
    ///
    /// The lease runs out first. Watch [`LogHandle::subscribe`] for the result.
    #[must_use]
    pub fn transfer_leadership(&self, target: member::MemberId) -> bool {
        self.transfer(Some(target))
    }

    /// Like [`LogHandle::transfer_leadership`], to the voter that is best caught up.
    #[must_use]
    pub fn hand_over_leadership(&self) -> bool {
        self.transfer(None)
    }

    pub(super) fn request_stop(&self) {
        let _ = self.inbox.send(driver::LogInput::Stop);
    }

    fn transfer(&self, target: Option<member::MemberId>) -> bool {
        let (started, answer) = crossbeam_channel::bounded(1);
        let input = driver::LogInput::Transfer { target, started };
        self.inbox.try_send(input).is_ok() && answer.recv().unwrap_or(false)
    }

    fn change(
        &self,
        change: member::MembershipChange,
        timeout: time::Duration,
    ) -> Result<log::LogPosition, driver::ChangeError> {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        self.change_with(change, move |result| {
            let _ = sender.send(result);
        });
        receiver
            .recv_timeout(timeout)
            .unwrap_or(Err(driver::ChangeError::Unsettled {
                cause: driver::ProposeError::OutcomeUnknown,
            }))
    }

    fn read_blocking<R: Send + 'static>(
        &self,
        linearizable: bool,
        timeout: time::Duration,
        reader: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, driver::ReadError> {
        let (sender, receiver) = crossbeam_channel::bounded(1);
        let reply = move |state: Result<&S, driver::ReadError>| {
            let _ = sender.send(state.map(reader));
        };
        self.submit(driver::LogInput::Read {
            linearizable,
            reply: driver::ReadReply::new(reply),
        });
        receiver
            .recv_timeout(timeout)
            .unwrap_or(Err(driver::ReadError::TimedOut))
    }

    /// Hands an input to the log's thread, or answers it here.
    fn submit(&self, input: driver::LogInput<S>) {
        match self.inbox.try_send(input) {
            Ok(()) => {}
            Err(crossbeam_channel::TrySendError::Full(input)) => {
                refuse(input, driver::ProposeError::Busy, driver::ReadError::Busy);
            }
            Err(crossbeam_channel::TrySendError::Disconnected(input)) => {
                let error = driver::ProposeError::Stopped;
                refuse(input, error, driver::ReadError::Stopped);
            }
        }
    }
}

/// Answers an input that the log's thread has not taken up.
pub(super) fn refuse<S: driver::StateMachine>(
    input: driver::LogInput<S>,
    propose_error: driver::ProposeError,
    read_error: driver::ReadError,
) {
    match input {
        driver::LogInput::Propose { reply, .. } => reply.refuse(propose_error),
        driver::LogInput::Change { reply, .. } => reply.refuse(propose_error),
        driver::LogInput::Read { reply, .. } => reply.answer(Err(read_error)),
        _ => {}
    }
}
