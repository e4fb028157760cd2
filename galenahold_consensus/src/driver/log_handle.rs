//! Thread-safe access to a replicated log.

use std::sync;
use std::time;

use crate::driver;
use crate::log;
use crate::member;
use crate::message;

/// A cloneable handle that sends requests to a replicated log from any thread.
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

    /// Proposes a command and blocks until it is applied or the timeout expires.
    ///
    /// # Errors
    ///
    /// See [`driver::ProposeErrorKind`], which also tells whether the command may have been
    /// committed.
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

    /// Proposes a command without blocking; `reply` is called exactly once.
    ///
    /// `reply` runs on the log's thread, or on the caller's if the command is refused at once; it
    /// must not block.
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

    /// Performs a linearizable read: the state includes all commands acknowledged before the call.
    ///
    /// # Errors
    ///
    /// The member is not the leader, no quorum confirmed its leadership in time, or the log is busy
    /// or has stopped.
    pub fn read<R: Send + 'static>(
        &self,
        timeout: time::Duration,
        reader: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, driver::ReadError> {
        self.read_blocking(true, timeout, reader)
    }

    /// Reads the local state of this member, which may be stale, whether it leads or not.
    ///
    /// # Errors
    ///
    /// The log has stopped, is busy or did not answer in time.
    pub fn read_local<R: Send + 'static>(
        &self,
        timeout: time::Duration,
        reader: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, driver::ReadError> {
        self.read_blocking(false, timeout, reader)
    }

    /// Like [`LogHandle::read`] without blocking; `reply` is called exactly once, as in
    /// [`LogHandle::propose_with`].
    pub fn read_with(&self, reply: impl FnOnce(Result<&S, driver::ReadError>) + Send + 'static) {
        self.submit(driver::LogInput::Read {
            linearizable: true,
            reply: driver::ReadReply::new(reply),
        });
    }

    /// Like [`LogHandle::read_local`] without blocking; `reply` is called exactly once, as in
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

    /// Queues a message from another member; drops it if the queue is full.
    pub fn deliver(&self, message: message::ConsensusMessage) {
        let _ = self
            .inbox
            .try_send(driver::LogInput::Message(Box::new(message)));
    }

    /// Returns the status that the member last published.
    #[must_use]
    pub fn status(&self) -> sync::Arc<driver::LogStatus> {
        self.view.status()
    }

    /// Returns the remaining time of the leader lease, during which no other member can lead.
    ///
    /// Returns `None` if the member does not lead or its lease has expired. The clock is read at
    /// the time of the call.
    #[must_use]
    pub fn lease_valid_for(&self) -> Option<time::Duration> {
        self.view.lease_valid_for()
    }

    /// Returns a channel that receives the current role immediately and every later change.
    #[must_use]
    pub fn subscribe(&self) -> crossbeam_channel::Receiver<driver::RoleEvent> {
        self.view.subscribe()
    }

    /// Adds a member as a learner, which receives the log without voting.
    ///
    /// [`driver::LogStatus::joiners`] lists the members that ask to join.
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

    /// Promotes a learner that has caught up to a voter.
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

    /// Removes a member from the group.
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

    /// Changes the membership without blocking; `reply` is called exactly once, as in
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

    /// Starts a leadership transfer to another voter; returns false if it cannot be started.
    ///
    /// Leadership moves only after the lease has expired. [`LogHandle::subscribe`] reports the
    /// result.
    #[must_use]
    pub fn transfer_leadership(&self, target: member::MemberId) -> bool {
        self.transfer(Some(target))
    }

    /// Starts a leadership transfer to the voter whose log is most up to date.
    ///
    /// Returns false if it cannot be started; see [`LogHandle::transfer_leadership`].
    #[must_use]
    pub fn hand_over_leadership(&self) -> bool {
        self.transfer(None)
    }

    /// Tells the leader, until the log is stopped, that this member is about to stop; hands over
    /// leadership if this member has it.
    ///
    /// The leader reports it in [`driver::MemberReport::leaving`]; the group's membership does not
    /// change by itself.
    pub fn announce_leaving(&self) {
        // A member that does not announce it is only noticed later.
        let _ = self.inbox.try_send(driver::LogInput::Leave);
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
            .unwrap_or(Err(driver::ChangeError::Proposal {
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

    /// Queues an input for the log's thread; refuses it at once if the queue is full or closed.
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

/// Answers the request of an input that the log's thread will not process.
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
