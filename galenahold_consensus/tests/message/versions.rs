//! Tests that members decode messages of later versions.

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::message;
use serde::Serialize;

/// A message of a later version, with an additional field and possibly an unknown body.
#[derive(Debug, Serialize)]
struct LaterMessage<B> {
    version: u16,
    cluster: Option<member::ClusterId>,
    priority: u8,
    from: member::MemberId,
    from_endpoint: member::MemberEndpoint,
    to: Option<member::MemberId>,
    boot: u64,
    incarnation: u64,
    term: log::Term,
    durable: log::LogIndex,
    body: B,
}

#[derive(Debug, Serialize)]
enum LaterBody {
    Heartbeat {
        probe: message::ProbeStamp,
        load: u32,
    },
    Gossip {
        load: u32,
    },
}

#[test]
fn unknown_fields_of_a_later_version_are_ignored() {
    let probe = message::ProbeStamp {
        term: log::Term::new(3),
        sequence: 3,
        sent_at: core::MonotonicTime::from_nanos(5),
    };
    let later = later_message(LaterBody::Heartbeat { probe, load: 9 });
    let decoded = message::ConsensusMessage::decode(&later).expect("the body is known");
    assert_eq!(decoded.version, 2);
    assert_eq!(decoded.body, message::MessageBody::Heartbeat { probe });
    let again = message::ConsensusMessage::decode(&decoded.encode());
    assert_eq!(again.expect("a message just encoded is decodable"), decoded);
}

/// A stamp of an earlier version, which does not name the leader's term.
#[derive(Debug, Serialize)]
struct EarlierStamp {
    sequence: u64,
    sent_at: core::MonotonicTime,
}

/// An append request of an earlier version, which reports no silent members.
#[derive(Debug, Serialize)]
struct EarlierAppend {
    previous: log::LogPosition,
    entries: Vec<log::LogEntry>,
    commit: log::LogIndex,
    probe: message::ProbeStamp,
}

#[derive(Debug, Serialize)]
enum EarlierBody {
    HeartbeatResponse { probe: EarlierStamp },
    AppendRequest(EarlierAppend),
}

#[test]
fn stamp_of_an_earlier_version_has_no_term() {
    let sent_at = core::MonotonicTime::from_nanos(5);
    let earlier = later_message(EarlierBody::HeartbeatResponse {
        probe: EarlierStamp {
            sequence: 3,
            sent_at,
        },
    });
    let decoded = message::ConsensusMessage::decode(&earlier).expect("the body is known");
    let probe = message::ProbeStamp {
        term: log::Term::ZERO,
        sequence: 3,
        sent_at,
    };
    assert_eq!(
        decoded.body,
        message::MessageBody::HeartbeatResponse { probe }
    );
}

#[test]
fn append_request_of_an_earlier_version_reports_no_silent_members() {
    let probe = message::ProbeStamp::default();
    let earlier = later_message(EarlierBody::AppendRequest(EarlierAppend {
        previous: log::LogPosition::default(),
        entries: Vec::new(),
        commit: log::LogIndex::new(4),
        probe,
    }));
    let decoded = message::ConsensusMessage::decode(&earlier).expect("the body is known");
    let request = message::AppendRequest {
        previous: log::LogPosition::default(),
        entries: Vec::new(),
        commit: log::LogIndex::new(4),
        probe,
        marks: Vec::new(),
        silences: Vec::new(),
    };
    assert_eq!(decoded.body, message::MessageBody::AppendRequest(request));
}

#[test]
fn unknown_body_of_a_later_version_fails_to_decode() {
    let later = later_message(LaterBody::Gossip { load: 9 });
    message::ConsensusMessage::decode(&later).expect_err("the body is unknown");
}

fn later_message<B: Serialize>(body: B) -> Vec<u8> {
    let message = LaterMessage {
        version: 2,
        cluster: Some(member::ClusterId::new(1)),
        priority: 4,
        from: member::MemberId::new(u128::MAX),
        from_endpoint: member::MemberEndpoint::new("a", "127.0.0.1:1"),
        to: None,
        boot: 1,
        incarnation: 2,
        term: log::Term::new(3),
        durable: log::LogIndex::new(4),
        body,
    };
    rmp_serde::to_vec_named(&message).expect("encode")
}
