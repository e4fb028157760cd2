//! RPC between instances over tarpc.

mod instance_rpc;
mod peer_transport;

pub use instance_rpc::{
    InstanceRpc, InstanceRpcClient, InstanceRpcRequest, InstanceRpcResponse, ServeInstanceRpc,
};
pub use peer_transport::{MAX_FRAME_BYTES, PeerTransport, frame_transport};
