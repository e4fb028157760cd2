//! Measures the encoded size and the encoding and decoding time of messages between instances, at several sizes.
//!
//! Prints one line per measurement and, for each kind of message with at least 3 sizes, a least-squares fit over the
//! sizes with its largest residual. Run it with `cargo run --release -p galenahold_wire --example message_cost`

use std::collections;
use std::hint;
use std::pin;
use std::time;

use galenahold_domain::{amount, control, intent, key, placement, server};
use galenahold_placement::demand;
use galenahold_routing::rate;
use galenahold_wire::{codec, message};
use serde::Serialize;
use serde::de;
use tokio_serde::{Deserializer, Serializer};

/// How long each encoding and each decoding is repeated for its mean time.
const REPEAT_FOR: time::Duration = time::Duration::from_millis(200);

/// A measurement of one message.
struct CostSample {
    size: f64,
    bytes: f64,
    encode_us: f64,
    decode_us: f64,
}

fn main() {
    println!("kind size bytes encode_us decode_us");
    report("heartbeats", &[10, 100, 1_000, 3_800], heartbeats);
    report("announcements", &[10, 100, 1_000], announcements);
    report("grant-teams", &[5, 50, 500], grant_call);
    report("grant-waiting", &[1, 4, 16], waiting_grant_call);
    report("grant-waits", &[1, 4, 16], waiting_grant_reply);
    report("demand-targets", &[5, 50, 500, 1_900], demand_report);
    report("configuration-changes", &[1, 10, 100], changes);
    report(
        "configuration-models",
        &[100, 1_000, 1_900],
        snapshot_models,
    );
    report("configuration-keys", &[100, 1_000, 10_000], snapshot_keys);
    report("quiet-watch", &[1], |_| unchanged_watch());
}

fn report<Message: Serialize + de::DeserializeOwned>(
    kind: &str,
    sizes: &[usize],
    new_message: impl Fn(usize) -> Message,
) {
    let mut samples = Vec::new();
    for size in sizes {
        let sample = measure(*size, &new_message(*size));
        println!(
            "{kind} {size} {} {:.2} {:.2}",
            sample.bytes, sample.encode_us, sample.decode_us
        );
        samples.push(sample);
    }
    if samples.len() >= 3 {
        print_fit(kind, "bytes", &samples, |sample| sample.bytes);
        print_fit(kind, "encode_us", &samples, |sample| sample.encode_us);
        print_fit(kind, "decode_us", &samples, |sample| sample.decode_us);
    }
}

fn measure<Message: Serialize + de::DeserializeOwned>(
    size: usize,
    message: &Message,
) -> CostSample {
    let mut codec = codec::NamedMessagePack;
    let encoded = pin::Pin::new(&mut codec)
        .serialize(message)
        .expect("all messages can be encoded");
    let buffer = bytes::BytesMut::from(&encoded[..]);
    let encode_us = mean_microseconds(|| {
        let mut codec = codec::NamedMessagePack;
        hint::black_box(
            pin::Pin::new(&mut codec)
                .serialize(hint::black_box(message))
                .ok(),
        );
    });
    let decode_us = mean_microseconds(|| {
        let mut codec = codec::NamedMessagePack;
        let decoded: Result<Message, _> =
            pin::Pin::new(&mut codec).deserialize(hint::black_box(&buffer));
        hint::black_box(decoded.ok());
    });
    CostSample {
        size: to_float(size),
        bytes: to_float(encoded.len()),
        encode_us,
        decode_us,
    }
}

/// Runs `work` for [`REPEAT_FOR`] and returns the mean duration of a run in microseconds.
fn mean_microseconds(mut work: impl FnMut()) -> f64 {
    let started = time::Instant::now();
    let mut runs = 0_u32;
    while started.elapsed() < REPEAT_FOR {
        work();
        runs += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

/// Prints the least-squares fit of the samples and its largest residual.
fn print_fit(kind: &str, metric: &str, samples: &[CostSample], value: impl Fn(&CostSample) -> f64) {
    let count = to_float(samples.len());
    let mean_size = samples.iter().map(|sample| sample.size).sum::<f64>() / count;
    let mean_value = samples.iter().map(&value).sum::<f64>() / count;
    let size_variation: f64 = samples
        .iter()
        .map(|sample| (sample.size - mean_size).powi(2))
        .sum();
    let slope = samples
        .iter()
        .map(|sample| (sample.size - mean_size) * (value(sample) - mean_value))
        .sum::<f64>()
        / size_variation;
    let base = mean_value - slope * mean_size;
    let residual = samples
        .iter()
        .map(|sample| (value(sample) - base - slope * sample.size).abs())
        .fold(0.0, f64::max);
    println!("fit {kind} {metric} = {base:.2} + {slope:.4} x size, largest residual {residual:.2}");
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn to_float(number: usize) -> f64 {
    number as f64
}

fn profile() -> message::InstanceProfile {
    message::InstanceProfile {
        name: "entry-123".into(),
        incarnation: amount::IncarnationNumber(1_796_364_491_313_228),
        address: "10.11.12.13:7003".parse().expect("the address is valid"),
        data_centre: "pwani-1".into(),
    }
}

fn heartbeats(count: usize) -> message::GossipBatch {
    let heartbeats = (0..count).map(|number| message::ServerHeartbeat {
        name: format!("engine-{number:05}").into(),
        incarnation: amount::IncarnationNumber(1_796_364_491_313_228),
        sequence: 81_234,
        unchanged_since: 70_000,
        age_ms: 120,
        load: load(),
    });
    message::GossipBatch {
        card: profile(),
        known: Vec::new(),
        announcements: Vec::new(),
        heartbeats: heartbeats.collect(),
        notices: Vec::new(),
        events: Vec::new(),
    }
}

fn announcements(count: usize) -> message::GossipBatch {
    let announcements = (0..count).map(|number| message::AgedAnnouncement {
        age_ms: 120,
        announcement: announcement(number),
    });
    message::GossipBatch {
        card: profile(),
        known: Vec::new(),
        announcements: announcements.collect(),
        heartbeats: Vec::new(),
        notices: Vec::new(),
        events: Vec::new(),
    }
}

fn announcement(number: usize) -> server::ServerAnnouncement {
    let loaded = (0..3).map(|place| server::LoadedReplica {
        model: format!("model-{place:04}").into(),
        version: "2026-11-01".into(),
        adapter: None,
        bytes: amount::ByteCount(16_000_000_000),
        order: 123_456,
        state: server::ReplicaState::Ready,
    });
    let cached = (0..8).map(|place| server::CachedCheckpoint {
        model: format!("model-{place:04}").into(),
        version: "2026-11-01".into(),
        tier: server::CheckpointTier::Disk,
    });
    server::ServerAnnouncement {
        name: format!("engine-{number:05}").into(),
        incarnation: amount::IncarnationNumber(1_796_364_491_313_228),
        sequence: 81_234,
        address: "10.11.12.13:8000".parse().expect("the address is valid"),
        data_centre: "pwani-1".into(),
        kind: server::ServerKind::Engine,
        checks_fencing: true,
        memory_bytes: amount::ByteCount(80_000_000_000),
        loaded: loaded.collect(),
        cached: cached.collect(),
        load: load(),
        leaving: false,
        service: None,
    }
}

fn load() -> server::ServerLoad {
    server::ServerLoad {
        running: 12,
        queued: 3,
        outstanding_tokens: amount::TokenCount(9_000),
    }
}

fn grant_call(teams: usize) -> rate::GrantCall {
    let requests = (0..teams).map(|number| rate::GrantRequest {
        team: format!("team-{number:03}").into(),
        first_missing: amount::TokenCount(500),
        missing: amount::TokenCount(1_500),
        prefetch: amount::TokenCount(4_000),
        waiting: Vec::new(),
        statements: Vec::new(),
        refunds: Vec::new(),
        overdrawn_total: amount::TokenCount(0),
        served_total: amount::TokenCount(81_234_567),
    });
    rate::GrantCall {
        instance: "entry-123".into(),
        incarnation: amount::IncarnationNumber(1_796_364_491_313_228),
        number: 81_234,
        teams: requests.collect(),
    }
}

/// Returns a call of one team with waiting requests.
fn waiting_grant_call(requests: usize) -> rate::GrantCall {
    let mut call = grant_call(1);
    let waiting = (0..requests).map(|number| rate::WaitingDemand {
        ticket: rate::ChargeTicket(70_000 + number as u64),
        rank: 2,
        is_returning: false,
        missing: amount::TokenCount(1_460),
        waits_ms: 388,
    });
    call.teams[0].waiting = waiting.collect();
    call
}

/// Returns the reply to such a call.
fn waiting_grant_reply(requests: usize) -> rate::GrantReply {
    rate::GrantReply {
        number: 81_234,
        grants: vec![rate::TokenGrant {
            team: "team-000".into(),
            id: rate::GrantId {
                term: 7,
                number: 81_234,
            },
            tokens: amount::TokenCount(1_460),
            expiry_in: time::Duration::from_millis(2_500),
            retry_after: Some(time::Duration::from_millis(2_200)),
            waits_ms: vec![Some(2_200); requests],
            scarce: true,
            recovering: false,
            weight: 1.0,
        }],
    }
}

fn demand_report(targets: usize) -> demand::DemandReport {
    let demands = (0..targets).map(|number| demand::ArtifactDemand {
        artifact: placement::ReplicaArtifact {
            model: format!("model-{number:04}").into(),
            version: "2026-11-01".into(),
            adapter: None,
        },
        waiting: 2,
        oldest_wait: time::Duration::from_millis(120),
        arrivals: 3,
        teams: vec![demand::TeamDemand {
            team: "team-001".into(),
            waiting: 2,
        }],
    });
    demand::DemandReport {
        instance: "entry-123".into(),
        incarnation: amount::IncarnationNumber(1_796_364_491_313_228),
        demands: demands.collect(),
        work: Vec::new(),
    }
}

fn changes(count: usize) -> message::WatchReply {
    let changes = (0..count).map(|number| control::ConfigurationChange::KeyGiven {
        revision: amount::RevisionNumber(number as u64 + 1),
        record: key_record(number),
    });
    watch_reply(message::ConfigurationUpdate::Changes(changes.collect()))
}

fn snapshot_models(count: usize) -> message::WatchReply {
    let models = (0..count).map(|number| intent::ModelIntent {
        name: format!("model-{number:04}").into(),
        version: "2026-11-01".into(),
        bytes: amount::ByteCount(16_000_000_000),
        min_replicas: 0,
        max_replicas: 4,
        max_request_tokens: amount::TokenCount(8_192),
        replica_concurrency: 16,
        adapters: (0..5).map(|place| adapter(number, place)).collect(),
    });
    let mut view = control::ConfigurationView::default();
    let wanted = intent::FleetIntent {
        models: models.collect(),
        ..intent::FleetIntent::default()
    };
    view.intent = std::sync::Arc::new(wanted);
    watch_reply(message::ConfigurationUpdate::Snapshot(view))
}

fn adapter(model: usize, place: usize) -> intent::AdapterIntent {
    intent::AdapterIntent {
        name: format!("model-{model:04}-adapter-{place}").into(),
        bytes: amount::ByteCount(200_000_000),
    }
}

fn snapshot_keys(count: usize) -> message::WatchReply {
    let mut view = control::ConfigurationView::default();
    let given: collections::VecDeque<_> = (0..count).map(key_record).collect();
    for record in given {
        let revision = view.revision.next();
        view.apply(&control::ConfigurationChange::KeyGiven { revision, record })
            .expect("the next revision");
    }
    watch_reply(message::ConfigurationUpdate::Snapshot(view))
}

fn key_record(number: usize) -> key::KeyRecord {
    key::KeyRecord {
        id: format!("{number:020x}").into(),
        team: "team-001".into(),
        salt: format!("{number:032x}"),
        hash: format!("{number:064x}"),
    }
}

fn unchanged_watch() -> message::WatchReply {
    watch_reply(message::ConfigurationUpdate::Nothing)
}

fn watch_reply(update: message::ConfigurationUpdate) -> message::WatchReply {
    message::WatchReply::Current {
        age_ms: 1,
        held_ms: 400,
        revision: amount::RevisionNumber(81_234),
        update,
        drains: None,
        suspects: None,
        roster: None,
        loads: None,
        followers: 0,
        members: Vec::new(),
        members_mark: 0,
        leader: Some("control-1".into()),
        term: 3,
    }
}
