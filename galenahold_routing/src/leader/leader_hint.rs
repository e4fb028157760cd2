//! What an instance knows of the control group's leader.

use galenahold_domain::name;

/// The leader of the control group in a term, as an instance knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaderHint {
    /// The leader's name; `None` if the instance knows no leader.
    pub name: Option<name::InstanceName>,
    /// The term of the instance; zero if it has none, or is of a version that does not state it.
    pub term: u64,
}
