//! Length-delimited transport of the tarpc service.

use serde::{Deserialize, Serialize};
use tarpc::serde_transport;
use tarpc::tokio_util::codec;
use tokio::net;

use crate::codec as messages;

/// Maximum size of a message between instances, in bytes; large enough for a snapshot of the configuration.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A tarpc transport over one TCP connection between instances.
pub type PeerTransport<Item, SinkItem> =
    serde_transport::Transport<net::TcpStream, Item, SinkItem, messages::CompressionCodec>;

/// Adds length-delimited framing to a TCP connection between instances; messages are compressed once `switch` is on.
#[must_use]
pub fn frame_transport<Item, SinkItem>(
    stream: net::TcpStream,
    switch: messages::CompressionSwitch,
) -> PeerTransport<Item, SinkItem>
where
    Item: for<'a> Deserialize<'a>,
    SinkItem: Serialize,
{
    let framed = codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    let codec = messages::CompressionCodec::new(switch, MAX_FRAME_BYTES);
    serde_transport::new(framed, codec)
}
