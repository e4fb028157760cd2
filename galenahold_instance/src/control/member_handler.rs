//! Handles operator calls about the membership of the control group.

use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::log as raft_log;
use galenahold_consensus::member;
use galenahold_domain::name;
use galenahold_wire::message;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::control as group;

/// The timeout of a membership change.
const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Changes and reports the members of the control group.
pub(crate) struct MemberHandler {
    member: sync::Arc<group::ControlGroup>,
}

impl MemberHandler {
    /// Creates a handler for the membership of the group of `member`.
    pub(crate) fn new(member: sync::Arc<group::ControlGroup>) -> Self {
        Self { member }
    }

    /// Returns the state of the control group as known to this member.
    pub(crate) fn status(&self) -> Value {
        let status = self.member.handle().status();
        let members: Vec<Value> = status.members.iter().map(show_member).collect();
        let joiners: Vec<Value> = status
            .joiners
            .iter()
            .map(|joiner| {
                json!({
                    "name": joiner.endpoint.name.as_str(),
                    "address": joiner.endpoint.address.as_str(),
                })
            })
            .collect();
        let (revision, reservations) = self
            .member
            .state()
            .read(|state| (state.revision(), state.reservations().len()));
        json!({
            "instance": status.profile.endpoint.name.as_str(),
            "leader": status.leader.as_ref().map(|leader| leader.endpoint.name.as_str()),
            "term": status.term.get(),
            "commit": status.commit.get(),
            "applied": status.applied.get(),
            "revision": revision,
            "reservations": reservations,
            "members": members,
            "joiners": joiners,
            "safe_to_lose": status.safe_to_lose,
            "storage_suspended": status.suspension.as_deref(),
        })
    }

    /// Adds an instance that asks to join, as a learner: it replicates the log before it may vote.
    ///
    /// # Errors
    ///
    /// No instance of this name asks to join, or the change was not made.
    pub(crate) async fn add(
        &self,
        name: &name::InstanceName,
    ) -> Result<Value, message::OperatorError> {
        let status = self.member.handle().status();
        let profile = status
            .joiners
            .iter()
            .find(|joiner| joiner.endpoint.name.as_str() == name.as_str())
            .cloned()
            .ok_or_else(|| not_found(format!(
                "no instance {name} asks to join; start it with the role control, an empty data folder and the control group as peers"
            )))?;
        self.change(member::MembershipChange::AddLearner(profile))
            .await
    }

    /// Promotes a learner that has caught up to a voter.
    ///
    /// # Errors
    ///
    /// There is no learner of this name, it has not caught up, or the change was not made.
    pub(crate) async fn promote(
        &self,
        name: &name::InstanceName,
    ) -> Result<Value, message::OperatorError> {
        let id = self.find(name, |status| status == member::VotingStatus::Learner)?;
        self.change(member::MembershipChange::Promote(id)).await
    }

    /// Removes a member.
    ///
    /// # Errors
    ///
    /// There is no member of this name, or the change was not made.
    pub(crate) async fn remove(
        &self,
        name: &name::InstanceName,
    ) -> Result<Value, message::OperatorError> {
        let id = self.find_longest_silent(name)?;
        self.change(member::MembershipChange::Remove(id)).await
    }

    fn find(
        &self,
        name: &name::InstanceName,
        accepts: impl Fn(member::VotingStatus) -> bool,
    ) -> Result<member::MemberId, message::OperatorError> {
        let status = self.member.handle().status();
        status
            .members
            .iter()
            .map(|report| &report.member)
            .find(|known| {
                known.profile.endpoint.name.as_str() == name.as_str() && accepts(known.standing)
            })
            .map(|known| known.profile.id)
            .ok_or_else(|| not_found(format!("the control group has no learner {name}")))
    }

    /// Finds the member to remove; of two with the same name, the one that has been silent for longer.
    fn find_longest_silent(
        &self,
        name: &name::InstanceName,
    ) -> Result<member::MemberId, message::OperatorError> {
        let status = self.member.handle().status();
        status
            .members
            .iter()
            .filter(|report| report.member.profile.endpoint.name.as_str() == name.as_str())
            .max_by_key(|report| report.silence)
            .map(|report| report.member.profile.id)
            .ok_or_else(|| not_found(format!("the control group has no member {name}")))
    }

    async fn change(
        &self,
        change: member::MembershipChange,
    ) -> Result<Value, message::OperatorError> {
        let (sender, receiver) = oneshot::channel();
        self.member.handle().change_with(change, move |result| {
            // The caller may have stopped waiting.
            let _ = sender.send(result);
        });
        let answered = tokio::time::timeout(CHANGE_TIMEOUT, receiver).await;
        match answered {
            Ok(Ok(Ok(position))) => Ok(show_position(position)),
            Ok(Ok(Err(error))) => Err(change_error(&error)),
            Ok(Err(_)) | Err(_) => Err(message::OperatorError {
                kind: message::OperatorErrorKind::OutcomeUnknown,
                message: "the membership change may have been made; check the members".to_owned(),
                details: None,
            }),
        }
    }
}

fn show_position(position: raft_log::LogPosition) -> Value {
    json!({ "term": position.term.get(), "index": position.index.get() })
}

fn show_member(report: &driver::MemberReport) -> Value {
    let voter = report.member.standing == member::VotingStatus::Voter;
    json!({
        "name": report.member.profile.endpoint.name.as_str(),
        "address": report.member.profile.endpoint.address.as_str(),
        "standing": if voter { "voter" } else { "learner" },
        "lag_entries": report.lag_entries,
        "silence_ms": report
            .silence
            .map(|silence| u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)),
    })
}

fn not_found(message: String) -> message::OperatorError {
    message::OperatorError {
        kind: message::OperatorErrorKind::NotFound,
        message,
        details: None,
    }
}

fn change_error(error: &driver::ChangeError) -> message::OperatorError {
    let outcome_unknown = matches!(
        error,
        driver::ChangeError::Proposal { cause } if cause.kind().may_have_committed()
    );
    message::OperatorError {
        kind: if outcome_unknown {
            message::OperatorErrorKind::OutcomeUnknown
        } else {
            message::OperatorErrorKind::Refused
        },
        message: error.to_string(),
        details: None,
    }
}
