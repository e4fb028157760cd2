//! The framed transport under the tarpc service.

use serde::{Deserialize, Serialize};
use tarpc::serde_transport;
use tarpc::tokio_util::codec;
use tokio::net;

use crate::codec::NamedMessagePack;

/// The largest message between instances, in bytes: a snapshot of the configuration has to fit.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A tarpc transport over one TCP connection between instances.
pub type PeerTransport<Item, SinkItem> =
    serde_transport::Transport<net::TcpStream, Item, SinkItem, NamedMessagePack>;

/// Frames a TCP connection between instances by length.
#[must_use]
pub fn frame_transport<Item, SinkItem>(stream: net::TcpStream) -> PeerTransport<Item, SinkItem>
where
    Item: for<'a> Deserialize<'a>,
    SinkItem: Serialize,
{
    let framed = codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, NamedMessagePack)
}
