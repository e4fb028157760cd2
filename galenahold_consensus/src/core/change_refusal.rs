//! [`ChangeRefusal`].

use snafu::Snafu;

/// Why a membership change was not appended. It is certain that it never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ChangeRefusal {
    /// The member does not lead.
    #[snafu(display("changing the membership: this member does not lead, ask the leader"))]
    NotLeader,
    /// An earlier change, or the leader's first entry, is not committed yet.
    #[snafu(display("changing the membership: an earlier change is under way, try again"))]
    Underway,
    /// The learner has not caught up.
    #[snafu(display("promoting a learner: it has not caught up, try again later"))]
    Lagging,
    /// The change does not apply to the membership.
    #[snafu(display("changing the membership: the change does not apply, look at the members"))]
    Inapplicable,
}
