//! Messages between members and their encoding.

mod append_request;
mod append_response;
mod bootstrap_body;
mod consensus_message;
mod member_silence;
mod member_watermark;
mod message_body;
mod message_error;
mod probe_stamp;
mod snapshot_chunk;
mod vote_kind;
mod vote_request;
mod vote_response;

pub use append_request::AppendRequest;
pub use append_response::AppendResponse;
pub use bootstrap_body::BootstrapBody;
pub use consensus_message::ConsensusMessage;
pub use member_silence::MemberSilence;
pub use member_watermark::MemberWatermark;
pub use message_body::MessageBody;
pub use message_error::MessageError;
pub use probe_stamp::ProbeStamp;
pub use snapshot_chunk::SnapshotChunk;
pub use vote_kind::VoteKind;
pub use vote_request::VoteRequest;
pub use vote_response::VoteResponse;
