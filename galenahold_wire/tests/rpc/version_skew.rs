//! A message with fields of a newer version, or without those of a newer version, is still understood.

use std::pin;

use galenahold_wire::codec;
use galenahold_wire::message;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer};

#[derive(Debug, Serialize, Deserialize)]
struct NewerReceipt {
    taken: bool,
    lag_ms: u64,
}

#[derive(Debug, Serialize)]
struct OlderGrant {
    team: &'static str,
    id: u64,
    tokens: u64,
    valid_ms: u64,
}

fn encode<Item: Serialize>(item: &Item) -> bytes::BytesMut {
    let mut codec = codec::NamedMessagePack;
    let encoded = pin::Pin::new(&mut codec).serialize(item).expect("encodes");
    bytes::BytesMut::from(&encoded[..])
}

#[test]
fn unknown_fields_of_a_newer_instance_are_skipped() {
    let encoded = encode(&NewerReceipt {
        taken: true,
        lag_ms: 7,
    });
    let mut codec = codec::NamedMessagePack;
    let receipt: message::ConsensusReceipt = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("decodes");
    assert!(receipt.taken);
}

#[test]
fn missing_fields_of_an_older_instance_take_their_defaults() {
    let encoded = encode(&OlderGrant {
        team: "a",
        id: 1,
        tokens: 5,
        valid_ms: 9,
    });
    let mut codec = codec::NamedMessagePack;
    let grant: message::TeamGrant = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("decodes");
    assert_eq!(grant.retry_after_ms, 0);
    assert_eq!(grant.tokens.0, 5);
}
