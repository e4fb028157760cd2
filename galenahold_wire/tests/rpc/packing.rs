//! Messages of a connection are packed as one stream where the other side unpacks them.

use std::pin;

use galenahold_domain::{amount, fleet};
use galenahold_wire::codec;
use galenahold_wire::message;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer};

/// More than any message of these tests.
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

fn codec_with(allowed: bool, max_bytes: usize) -> codec::PackingCodec {
    let switch = codec::PackingSwitch::default();
    if allowed {
        switch.allow();
    }
    codec::PackingCodec::new(switch, max_bytes)
}

fn write<Item: Serialize>(codec: &mut codec::PackingCodec, item: &Item) -> bytes::BytesMut {
    let written = pin::Pin::new(codec).serialize(item).expect("encodes");
    bytes::BytesMut::from(&written[..])
}

fn read(codec: &mut codec::PackingCodec, frame: &bytes::BytesMut) -> std::io::Result<ServerState> {
    pin::Pin::new(codec).deserialize(frame)
}

#[test]
fn packed_messages_come_back_in_order() {
    let (mut sender, mut receiver) = (codec_with(true, MAX_BYTES), codec_with(false, MAX_BYTES));
    for number in 0..2_000 {
        let frame = write(&mut sender, &state(number));
        let item = read(&mut receiver, &frame).expect("unpacks");
        assert_eq!(item, state(number));
    }
}

/// Returns what an entry instance asks the leader some times a second.
fn watch_request(number: u64) -> message::WatchRequest {
    message::WatchRequest {
        card: message::InstanceProfile {
            name: "10.2.0.19:7500".into(),
            incarnation: amount::IncarnationNumber(1),
            address: "10.2.0.19:7500".parse().expect("an address"),
            data_centre: "henllan".into(),
        },
        have: amount::RevisionNumber(number / 100),
        age_ms: Some(number % 400),
        drain_version: 0,
        roster: Some(fleet::RosterCursor {
            term: 3,
            version: number * 17,
            settled: true,
        }),
        leader_known: None,
        in_hurry: number.is_multiple_of(3),
        members_mark: 0x3b37_3d0c_7277_251a,
        hold_ms: 700,
    }
}

#[test]
fn requests_that_are_alike_take_a_quarter_of_their_bytes_at_most() {
    let sum = |allowed: bool| -> usize {
        let mut codec = codec_with(allowed, MAX_BYTES);
        let frames = (0..500).map(|number| write(&mut codec, &watch_request(number)));
        frames.map(|frame| frame.len()).sum()
    };
    let (plain, packed) = (sum(false), sum(true));
    assert!(packed * 4 <= plain, "{packed} of {plain} bytes");
}

#[test]
fn messages_are_not_packed_before_the_other_side_says_that_it_unpacks_them() {
    let switch = codec::PackingSwitch::default();
    let mut sender = codec::PackingCodec::new(switch.clone(), MAX_BYTES);
    let mut older = codec::NamedMessagePack;
    let frame = write(&mut sender, &state(1));
    let item: ServerState = pin::Pin::new(&mut older)
        .deserialize(&frame)
        .expect("decodes");
    assert_eq!(item, state(1));
    switch.allow();
    let packed = write(&mut sender, &state(2));
    let mut receiver = codec_with(false, MAX_BYTES);
    assert_eq!(read(&mut receiver, &frame).expect("decodes"), state(1));
    assert_eq!(read(&mut receiver, &packed).expect("unpacks"), state(2));
}

#[test]
fn large_message_comes_back_whole() {
    let (mut sender, mut receiver) = (codec_with(true, MAX_BYTES), codec_with(false, MAX_BYTES));
    let names = (0..20_000).map(|number| format!("{}", number * 7_919 % 100_003));
    let large = ServerState {
        held_models: names.collect(),
        ..state(1)
    };
    for _ in 0..3 {
        let frame = write(&mut sender, &large);
        assert_eq!(read(&mut receiver, &frame).expect("unpacks"), large);
    }
}

#[test]
fn message_that_unpacks_to_more_than_the_limit_is_refused() {
    let (mut sender, mut receiver) = (codec_with(true, MAX_BYTES), codec_with(false, 10_000));
    let large = ServerState {
        server_name: "a".repeat(100_000),
        ..state(1)
    };
    let frame = write(&mut sender, &large);
    assert!(frame.len() < 10_000);
    let error = read(&mut receiver, &frame).expect_err("it is too large");
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
}

#[test]
fn bytes_that_are_no_packed_message_are_refused() {
    for garbage in [
        &[0xc1, 0xff, 0xff, 0xff][..],
        &[0xc1, 3, 0, 7, 7][..],
        &[0xc1][..],
    ] {
        let mut receiver = codec_with(false, MAX_BYTES);
        let refused = read(&mut receiver, &bytes::BytesMut::from(garbage));
        assert!(refused.is_err(), "{garbage:?}");
    }
}
