//! [`BootstrapBody`].

use serde::{Deserialize, Serialize};

use crate::member;

/// Messages by which instances find their group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapBody {
    /// A data folder that belongs to no group tells its identity.
    Greeting(member::MemberProfile),
    /// A member tells a data folder that it belongs to the group.
    Welcome {
        /// The group.
        cluster: member::ClusterId,
        /// Its first membership.
        genesis: member::MembershipList,
        /// The folder that is welcome.
        guest: member::MemberId,
    },
    /// A member tells a data folder that there is a group, to which it doesn't belong.
    Founded {
        /// The group.
        cluster: member::ClusterId,
    },
}
