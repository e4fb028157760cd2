//! Messages from newer and older versions, with additional or missing fields, can be decoded.

use std::pin;

use galenahold_domain::amount;
use galenahold_routing::rate;
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
struct OlderBatch {
    card: message::InstanceProfile,
    announcements: Vec<u8>,
}

fn encode<Item: Serialize>(item: &Item) -> bytes::BytesMut {
    let mut codec = codec::NamedMessagePack;
    let encoded = pin::Pin::new(&mut codec)
        .serialize(item)
        .expect("the message can be encoded");
    bytes::BytesMut::from(&encoded[..])
}

#[test]
fn unknown_fields_of_a_newer_version_are_ignored() {
    let encoded = encode(&NewerReceipt {
        taken: true,
        lag_ms: 7,
    });
    let mut codec = codec::NamedMessagePack;
    let receipt: message::ConsensusReceipt = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("the message can be decoded");
    assert!(receipt.taken);
}

#[test]
fn fields_missing_from_an_older_version_take_their_defaults() {
    let encoded = encode(&OlderBatch {
        card: message::InstanceProfile {
            name: "entry-1".into(),
            incarnation: amount::IncarnationNumber(1),
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            data_centre: "dc-1".into(),
        },
        announcements: Vec::new(),
    });
    let mut codec = codec::NamedMessagePack;
    let batch: message::GossipBatch = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("the message can be decoded");
    assert!(batch.known.is_empty());
    assert!(batch.events.is_empty());
}

/// A demand report without the times of the waiting calls, as versions before them send it.
#[derive(Debug, Serialize)]
struct OlderCount {
    service: &'static str,
    model: &'static str,
    arrivals: u32,
    waiting: u32,
    running: u32,
}

#[test]
fn demand_of_an_older_version_has_no_times_of_waiting_calls() {
    let encoded = encode(&OlderCount {
        service: "models",
        model: "m",
        arrivals: 2,
        waiting: 1,
        running: 0,
    });
    let mut codec = codec::NamedMessagePack;
    let count: message::ModelCount = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("the message can be decoded");
    assert_eq!(count.waiting, 1);
    assert!(count.waiting_calls.is_empty());
}

/// A request for tokens as versions without ranks send it.
#[derive(Debug, Serialize)]
struct OlderGrantRequest {
    team: String,
    first_missing: u64,
    missing: u64,
    prefetch: u64,
    statements: Vec<u8>,
    refunds: Vec<u8>,
    overdrawn_total: u64,
    served_total: u64,
}

#[test]
fn request_for_tokens_of_a_version_without_ranks_is_decoded() {
    let encoded = encode(&OlderGrantRequest {
        team: "blue".to_owned(),
        first_missing: 500,
        missing: 700,
        prefetch: 0,
        statements: Vec::new(),
        refunds: Vec::new(),
        overdrawn_total: 0,
        served_total: 0,
    });
    let mut codec = codec::NamedMessagePack;
    let request: rate::GrantRequest = pin::Pin::new(&mut codec)
        .deserialize(&encoded)
        .expect("the message can be decoded");
    assert_eq!(request.first_missing, amount::TokenCount(500));
    assert!(request.waiting.is_empty());
}

/// Guards against reports that exceed the control traffic of an instance in a burst, when every report
/// lists waiting calls of several models.
#[test]
fn waiting_calls_add_at_most_eight_bytes_each() {
    let encoded = |calls: usize| {
        let call = message::WaitingCall {
            due_ms: 6_000,
            leaves_ms: 18_000,
        };
        encode(&message::ModelCount {
            service: "models".into(),
            model: "m".into(),
            arrivals: 2,
            waiting: 8,
            running: 0,
            waiting_calls: vec![call; calls],
        })
    };
    let (without, eight) = (encoded(0), encoded(8));
    assert!(
        eight.len() - without.len() <= 8 * 8 + 16,
        "{}",
        eight.len() - without.len()
    );
    let mut codec = codec::NamedMessagePack;
    let count: message::ModelCount = pin::Pin::new(&mut codec)
        .deserialize(&eight)
        .expect("the message can be decoded");
    assert_eq!(count.waiting_calls[7].leaves_ms, 18_000);
}
