//! Messages from newer and older versions, with additional or missing fields, can be decoded.

use std::pin;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::load;
use galenahold_routing::rate;
use galenahold_wire::codec;
use galenahold_wire::message;
use serde::{Deserialize, Serialize, de};
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

/// A demand report of a version without the use of servers.
#[derive(Debug, Serialize, Deserialize)]
struct OlderDemand {
    instance: name::InstanceName,
    span_ms: u64,
    models: Vec<message::ModelCount>,
    adapters: Vec<message::AdapterUse>,
}

/// A watch request of a version without load views.
#[derive(Debug, Serialize, Deserialize)]
struct OlderWatch {
    card: message::InstanceProfile,
    have: amount::RevisionNumber,
    drain_version: u64,
    hold_ms: u64,
}

/// A reply to a watch of a version without load views.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OlderReply {
    Current {
        age_ms: u64,
        held_ms: u64,
        revision: amount::RevisionNumber,
        update: message::ConfigurationUpdate,
        leader: Option<name::InstanceName>,
    },
}

fn decode<Item: de::DeserializeOwned>(encoded: &bytes::BytesMut) -> Item {
    let mut codec = codec::NamedMessagePack;
    pin::Pin::new(&mut codec)
        .deserialize(encoded)
        .expect("the message can be decoded")
}

fn load_update() -> load::LoadUpdate {
    let now = time::Instant::now();
    let mut table = load::FleetLoadTable::new(7, now);
    for number in 0..40 {
        let sample = load::PaceSample {
            model: format!("model-{}", number % 3).into(),
            event_us: 27_000,
            events: 9,
        };
        let used = load::ServerUse {
            server: format!("engine-{number}").into(),
            started_ms: 1_796_364_491_313,
            running: number % 5,
            unread_tokens: number % 3 * 700,
            cache_tokens: number * 2_000,
            paces: vec![sample; 4],
        };
        for slot in 0..4 {
            let at = now + time::Duration::from_millis(400 * slot);
            table.record(&"entry-1".into(), std::slice::from_ref(&used), at);
        }
    }
    let later = now + time::Duration::from_millis(1_700);
    table.sum_up(|_| true, later);
    let have = load::LoadVersion::default();
    let update = table.update_since(have, false, later);
    update.expect("an update is due")
}

fn watch_reply(loads: Option<load::LoadUpdate>) -> message::WatchReply {
    message::WatchReply::Current {
        age_ms: 1,
        held_ms: 400,
        revision: amount::RevisionNumber(12),
        update: message::ConfigurationUpdate::Nothing,
        drains: None,
        suspects: None,
        roster: None,
        loads: loads.map(Box::new),
        followers: 0,
        members: Vec::new(),
        members_mark: 0,
        leader: Some("control-1".into()),
        term: 3,
    }
}

#[test]
fn a_load_update_arrives_as_it_was_sent() {
    let sent = load_update();
    assert_eq!(sent.servers.len(), 40);
    assert!(!sent.paces.is_empty() && !sent.bases.is_empty());
    let encoded = encode(&watch_reply(Some(sent.clone())));
    let message::WatchReply::Current { loads, .. } = decode(&encoded) else {
        panic!("the reply has another kind");
    };
    assert_eq!(loads.as_deref(), Some(&sent));
}

#[test]
fn older_instances_and_a_leader_with_load_views_read_each_other() {
    let demand: message::ModelDemand = decode(&encode(&OlderDemand {
        instance: "entry-1".into(),
        span_ms: 700,
        models: Vec::new(),
        adapters: Vec::new(),
    }));
    assert!(demand.servers.is_empty());
    let watch: message::WatchRequest = decode(&encode(&OlderWatch {
        card: profile(),
        have: amount::RevisionNumber(1),
        drain_version: 0,
        hold_ms: 700,
    }));
    assert_eq!(watch.load_version, None);
    let OlderReply::Current { held_ms, .. } = decode(&encode(&watch_reply(Some(load_update()))));
    assert_eq!(held_ms, 400);
}

#[test]
fn an_instance_with_load_views_reads_an_older_leader() {
    let reply = decode(&encode(&OlderReply::Current {
        age_ms: 1,
        held_ms: 400,
        revision: amount::RevisionNumber(12),
        update: message::ConfigurationUpdate::Nothing,
        leader: None,
    }));
    let message::WatchReply::Current { loads, term, .. } = reply else {
        panic!("the reply has another kind");
    };
    assert_eq!((loads, term), (None, 0));
    let demand = message::ModelDemand {
        instance: "entry-1".into(),
        span_ms: 700,
        models: Vec::new(),
        adapters: Vec::new(),
        servers: vec![load::ServerUse {
            server: "engine-1".into(),
            started_ms: 1,
            running: 1,
            unread_tokens: 0,
            cache_tokens: 0,
            paces: Vec::new(),
        }],
    };
    let older: OlderDemand = decode(&encode(&demand));
    assert_eq!(older.span_ms, 700);
    let read: message::ModelDemand = decode(&encode(&demand));
    assert_eq!(read, demand);
}

fn encode<Item: Serialize>(item: &Item) -> bytes::BytesMut {
    let mut codec = codec::NamedMessagePack;
    let encoded = pin::Pin::new(&mut codec)
        .serialize(item)
        .expect("the message can be encoded");
    bytes::BytesMut::from(&encoded[..])
}

fn profile() -> message::InstanceProfile {
    message::InstanceProfile {
        name: "entry-1".into(),
        incarnation: amount::IncarnationNumber(1),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: "dc-1".into(),
    }
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
        card: profile(),
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
