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
struct OlderDemand {
    model: &'static str,
    oldest_wait_ms: u64,
    running: u32,
    arrived: u32,
    waiting: Vec<u8>,
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
    let encoded = encode(&OlderDemand {
        model: "m",
        oldest_wait_ms: 9,
        running: 1,
        arrived: 2,
        waiting: Vec::new(),
    });
    let mut codec = codec::NamedMessagePack;
    let demand: message::TargetDemand = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("decodes");
    assert_eq!(demand.adapter, None);
    assert_eq!(demand.arrived, 2);
}
