//! Reasons for which a leader refuses a membership change.

use snafu::Snafu;

/// Reason why a membership change was refused; a refused change is never committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ChangeRefusal {
    /// This member is not the leader.
    #[snafu(display(
        "changing the membership: this member is not the leader, send the change to the leader"
    ))]
    NotLeader,
    /// An earlier change or the first entry of the leader's term is not committed yet, or a
    /// leadership transfer is in progress.
    #[snafu(display("changing the membership: another change is in progress, try again"))]
    Underway,
    /// The learner is too far behind the leader's log to be promoted.
    #[snafu(display("promoting a learner: its log has not caught up, try again later"))]
    Lagging,
    /// The change cannot be applied to the current membership.
    #[snafu(display(
        "changing the membership: the change does not apply to the current members, list them"
    ))]
    Inapplicable,
}
