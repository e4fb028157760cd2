//! Members of a consensus group: identities, endpoints and the membership list.

mod cluster_id;
mod group_member;
mod member_address;
mod member_endpoint;
mod member_id;
mod member_name;
mod member_profile;
mod membership_change;
mod membership_list;
mod voting_status;

pub use cluster_id::ClusterId;
pub use group_member::GroupMember;
pub use member_address::MemberAddress;
pub use member_endpoint::MemberEndpoint;
pub use member_id::MemberId;
pub use member_name::MemberName;
pub use member_profile::MemberProfile;
pub use membership_change::MembershipChange;
pub use membership_list::MembershipList;
pub use voting_status::VotingStatus;
