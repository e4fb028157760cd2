//! Compression of a connection's messages as one stream, once the peer supports it.

use std::pin;

use galenahold_domain::{amount, fleet};
use galenahold_routing::load;
use galenahold_wire::codec;
use galenahold_wire::message;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer};

/// A limit above the size of any message that these tests expect to be accepted.
const MAX_BYTES: usize = 1024 * 1024;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ServerState {
    server_name: String,
    running_requests: u64,
    held_models: Vec<String>,
}

fn state(number: u64) -> ServerState {
    ServerState {
        server_name: format!("server-{}", number % 7),
        running_requests: number,
        held_models: vec![format!("model-{}", number % 11), "shared-model".to_owned()],
    }
}

fn new_codec(allowed: bool, max_bytes: usize) -> codec::CompressionCodec {
    let switch = codec::CompressionSwitch::default();
    if allowed {
        switch.enable();
    }
    codec::CompressionCodec::new(switch, max_bytes)
}

fn write<Item: Serialize>(codec: &mut codec::CompressionCodec, item: &Item) -> bytes::BytesMut {
    let written = pin::Pin::new(codec)
        .serialize(item)
        .expect("the message can be encoded");
    bytes::BytesMut::from(&written[..])
}

fn read(
    codec: &mut codec::CompressionCodec,
    frame: &bytes::BytesMut,
) -> std::io::Result<ServerState> {
    pin::Pin::new(codec).deserialize(frame)
}

#[test]
fn compressed_messages_are_decoded_in_order() {
    let (mut sender, mut receiver) = (new_codec(true, MAX_BYTES), new_codec(false, MAX_BYTES));
    for number in 0..2_000 {
        let frame = write(&mut sender, &state(number));
        let item = read(&mut receiver, &frame).expect("the message can be decompressed");
        assert_eq!(item, state(number));
    }
}

/// Returns a watch request, as an entry instance sends several per second to the leader.
fn watch_request(number: u64) -> message::WatchRequest {
    message::WatchRequest {
        card: message::InstanceProfile {
            name: "10.2.0.19:7500".into(),
            incarnation: amount::IncarnationNumber(1),
            address: "10.2.0.19:7500".parse().expect("the address is valid"),
            data_centre: "henllan".into(),
        },
        have: amount::RevisionNumber(number / 100),
        age_ms: Some(number % 400),
        drain_version: 0,
        suspect_version: 0,
        roster: Some(fleet::RosterCursor {
            term: 3,
            version: number * 17,
            settled: true,
        }),
        load_version: Some(load::LoadVersion {
            term: 3,
            version: number * 731,
        }),
        leader_known: None,
        in_hurry: number.is_multiple_of(3),
        members_mark: 0x3b37_3d0c_7277_251a,
        hold_ms: 700,
    }
}

#[test]
fn similar_requests_compress_to_a_quarter_or_less() {
    let sum = |allowed: bool| -> usize {
        let mut codec = new_codec(allowed, MAX_BYTES);
        let frames = (0..500).map(|number| write(&mut codec, &watch_request(number)));
        frames.map(|frame| frame.len()).sum()
    };
    let (plain, compressed) = (sum(false), sum(true));
    assert!(
        compressed * 4 <= plain,
        "{compressed} bytes compressed, {plain} bytes uncompressed"
    );
}

#[test]
fn messages_are_uncompressed_until_the_peer_supports_compression() {
    let switch = codec::CompressionSwitch::default();
    let mut sender = codec::CompressionCodec::new(switch.clone(), MAX_BYTES);
    let mut older_decoder = codec::NamedMessagePack;
    let frame = write(&mut sender, &state(1));
    let item: ServerState = pin::Pin::new(&mut older_decoder)
        .deserialize(&frame)
        .expect("the message can be decoded");
    assert_eq!(item, state(1));
    switch.enable();
    let compressed = write(&mut sender, &state(2));
    let mut receiver = new_codec(false, MAX_BYTES);
    assert_eq!(
        read(&mut receiver, &frame).expect("the message can be decoded"),
        state(1)
    );
    assert_eq!(
        read(&mut receiver, &compressed).expect("the message can be decompressed"),
        state(2)
    );
}

#[test]
fn large_message_survives_compression() {
    let (mut sender, mut receiver) = (new_codec(true, MAX_BYTES), new_codec(false, MAX_BYTES));
    let names = (0..20_000).map(|number| format!("{}", number * 7_919 % 100_003));
    let large = ServerState {
        held_models: names.collect(),
        ..state(1)
    };
    for _ in 0..3 {
        let frame = write(&mut sender, &large);
        assert_eq!(
            read(&mut receiver, &frame).expect("the message can be decompressed"),
            large
        );
    }
}

#[test]
fn message_that_decompresses_beyond_the_limit_is_rejected() {
    let (mut sender, mut receiver) = (new_codec(true, MAX_BYTES), new_codec(false, 10_000));
    let large = ServerState {
        server_name: "a".repeat(100_000),
        ..state(1)
    };
    let frame = write(&mut sender, &large);
    assert!(frame.len() < 10_000);
    let error = read(&mut receiver, &frame).expect_err("the message exceeds the limit");
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
}

#[test]
fn malformed_compressed_data_is_rejected() {
    for malformed in [
        &[0xc1, 0xff, 0xff, 0xff][..],
        &[0xc1, 3, 0, 7, 7][..],
        &[0xc1][..],
    ] {
        let mut receiver = new_codec(false, MAX_BYTES);
        let result = read(&mut receiver, &bytes::BytesMut::from(malformed));
        assert!(result.is_err(), "{malformed:?}");
    }
}
