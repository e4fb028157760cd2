//! The instances that a call in search of the leader goes to.

use galenahold_domain::name;

/// The instances that a call in search of the leader goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchTarget {
    /// The leader.
    Leader(name::InstanceName),
    /// Members in place of the leader, all at once; the first answer counts.
    Members(Vec<name::InstanceName>),
}
