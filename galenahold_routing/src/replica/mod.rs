//! Load balancing over the replicas of a model or service.
//!
//! The [`ReplicaTable`] holds the announcements of backend servers and the requests of this instance that
//! are in flight at each replica. A [`ReplicaChoice`] picks one of the candidates that the table lists.

mod bounded_rotation;
mod choice_request;
mod least_outstanding;
mod prefix_affinity;
mod prefix_blocks;
mod prefix_view;
mod replica_candidate;
mod replica_choice;
mod replica_entry;
mod replica_key;
mod replica_table;
mod replica_target;
mod round_robin;
mod server_entry;
mod server_key;
mod table_change;
mod table_settings;
mod two_choices;

pub use bounded_rotation::BoundedRotation;
pub use choice_request::ChoiceRequest;
pub use least_outstanding::LeastOutstanding;
pub use prefix_affinity::PrefixAffinity;
pub use prefix_blocks::PrefixBlocks;
pub use replica_candidate::ReplicaCandidate;
pub use replica_choice::ReplicaChoice;
pub use replica_entry::ReplicaEntry;
pub use replica_key::ReplicaKey;
pub use replica_table::ReplicaTable;
pub use replica_target::ReplicaTarget;
pub use round_robin::RoundRobin;
pub use server_entry::ServerEntry;
pub use server_key::ServerKey;
pub use table_change::TableChange;
pub use table_settings::TableSettings;
pub use two_choices::TwoChoices;
