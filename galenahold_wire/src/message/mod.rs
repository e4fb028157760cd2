//! Messages between instances.

mod burn_reply;
mod configuration_update;
mod consensus_batch;
mod control_call;
mod control_reply;
mod drain_list;
mod hello_request;
mod instance_card;
mod operator_call;
mod operator_reply;
mod replica_notice;
mod server_heartbeat;
mod spread_batch;
mod watch_reply;
mod watch_request;

pub use burn_reply::{BurnReply, BurnRequest};
pub use configuration_update::ConfigurationUpdate;
pub use consensus_batch::{ConsensusBatch, ConsensusReceipt};
pub use control_call::ControlCall;
pub use control_reply::ControlReply;
pub use drain_list::{DrainList, DrainingReplica};
pub use hello_request::{HelloReply, HelloRequest};
pub use instance_card::InstanceCard;
pub use operator_call::OperatorCall;
pub use operator_reply::{OperatorError, OperatorErrorKind, OperatorReply};
pub use replica_notice::ReplicaNotice;
pub use server_heartbeat::ServerHeartbeat;
pub use spread_batch::{AgedAnnouncement, SpreadBatch, SpreadReceipt};
pub use watch_reply::WatchReply;
pub use watch_request::WatchRequest;
