//! Automatic membership changes of the control group.

use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use log::{info, warn};
use tokio::sync::oneshot;

use crate::control as group;
use crate::task;
use crate::timer;

/// How often the membership is checked.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// How long a voter may be silent before a learner takes its place. A process that is restarted is
/// back within a second, and a successor is to count within four.
const SUCCESSION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How long a learner may be silent before it is removed; after that it can only return with an empty data folder.
const LEARNER_RETENTION: time::Duration = time::Duration::from_mins(10);

/// Maximum time for one membership change.
const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Number of voters of a group whose settings state no number of data folders that may be lost,
/// for instance because they state a number of data centres.
const DEFAULT_VOTERS: usize = 5;

/// Returns the number of voters of a group that tolerates the loss of `tolerated_losses` data
/// folders at once.
///
/// A group of this size or less keeps members that stop, as they are expected to return.
pub(crate) fn voter_target(tolerated_losses: usize) -> usize {
    if tolerated_losses == 0 {
        return DEFAULT_VOTERS;
    }
    2 * tolerated_losses + 1
}

/// Reconciles the membership of the control group while this member leads it: adds new members and
/// removes members that are permanently lost.
pub(crate) struct MembershipReconciler {
    member: sync::Arc<group::ControlGroup>,
    planner: driver::MembershipPlanner,
}

impl MembershipReconciler {
    /// Creates a reconciler for a group that tolerates the loss of `tolerated_losses` data folders
    /// at once.
    pub(crate) fn new(member: sync::Arc<group::ControlGroup>, tolerated_losses: usize) -> Self {
        Self {
            member,
            planner: driver::MembershipPlanner::new(
                voter_target(tolerated_losses),
                SUCCESSION_TIMEOUT,
                LEARNER_RETENTION,
            ),
        }
    }

    /// Starts a task that reconciles until the task group stops.
    pub(crate) fn start(self, timer: &timer::TimerService, tasks: &task::TaskGroup) {
        let mut subscription = timer.subscribe(CHECK_PERIOD);
        tasks.spawn_until_stop(async move {
            while subscription.tick().await.is_some() {
                self.reconcile().await;
            }
        });
    }

    async fn reconcile(&self) {
        if !self.member.is_leader() {
            return;
        }
        let status = self.member.handle().status();
        let Some(change) = self.planner.next_change(&status) else {
            return;
        };
        let described = format!("{change:?}");
        let voters = describe_silences(&status, member::VotingStatus::Voter);
        let learners = describe_silences(&status, member::VotingStatus::Learner);
        let (sender, receiver) = oneshot::channel();
        self.member.handle().change_with(change, move |result| {
            // The receiver is dropped if the change timed out.
            let _ = sender.send(result);
        });
        match tokio::time::timeout(CHANGE_TIMEOUT, receiver).await {
            Ok(Ok(Ok(position))) => {
                info!(
                    change = described.as_str(),
                    index = position.index.get(),
                    voters_silent_ms = voters.as_str(),
                    learners_silent_ms = learners.as_str();
                    "members of the control group changed"
                );
            }
            Ok(Ok(Err(error))) => {
                warn!(change = described.as_str(), error:% = error; "cannot change the members of the control group");
            }
            Ok(Err(_)) | Err(_) => {
                warn!(change = described.as_str(); "outcome of a change of the control group's members is unknown");
            }
        }
    }
}

/// Lists the members of a standing before a change, each with its silence in milliseconds (`-` for the leader itself).
fn describe_silences(status: &driver::LogStatus, standing: member::VotingStatus) -> String {
    let members = status.members.iter();
    let members = members.filter(|report| report.member.standing == standing);
    let described = members.map(|report| {
        let silence = report
            .silence
            .map(|silence| silence.as_millis().to_string());
        let name = &report.member.profile.endpoint.name;
        format!("{name}={}", silence.as_deref().unwrap_or("-"))
    });
    described.collect::<Vec<_>>().join(",")
}
