//! Played traces.

use std::io::{Read, Write};
use std::thread;

use galenahold_testkit::{control, engine, load, service};

fn completion(number: u64, team: &str, model: &str, stream: bool) -> load::TraceRequest {
    load::TraceRequest {
        id: format!("r-{number}"),
        at_us: number * 1_000,
        team: team.to_owned(),
        inside_rate: true,
        body: load::TraceBody::Completion {
            model: model.to_owned(),
            shared_tokens: 4,
            own_tokens: 8,
            output_tokens: 6,
            stream,
            after_idle: false,
        },
    }
}

fn order(number: u64) -> load::TraceRequest {
    load::TraceRequest {
        body: load::TraceBody::Order {
            service: "mainc".to_owned(),
            tokens: 1,
        },
        ..completion(number, "joiners", "", false)
    }
}

fn start_engine() -> engine::EngineProcess {
    let builder = engine::EngineBuilder::new("engine-1").model("llm", "1", 1_000);
    builder.start().expect("an engine")
}

fn play(engine: &engine::EngineProcess, requests: Vec<load::TraceRequest>) -> load::LoadResult {
    let settings = load::LoadSettings {
        straight_engines: vec![load::DirectEngine::any_model(engine.address())],
        ..load::LoadSettings::default()
    };
    let run = load::LoadRun::new(settings).expect("a run");
    run.play(&load::LoadTrace::new(requests))
}

fn of_team<'a>(result: &'a load::LoadResult, team: &str) -> &'a load::RouteResult {
    let found = result.route(load::RouteKind::Straight, team);
    found.expect("a result of the team")
}

#[test]
fn whole_answers_are_counted_by_team() {
    let engine = start_engine();
    let requests = (0..20)
        .map(|number| {
            let team = if number < 5 { "joiners" } else { "chandlers" };
            completion(number, team, "llm", number % 2 == 0)
        })
        .collect();
    let result = play(&engine, requests);
    assert_eq!(of_team(&result, "joiners").answered, 5);
    assert_eq!(of_team(&result, "chandlers").answered, 15);
    let all = of_team(&result, "");
    assert_eq!((all.sent, all.answered, all.tokens), (20, 20, 120));
    assert_eq!(all.first_token.count, 20);
    assert_eq!(result.seconds.len(), 1);
    assert_eq!(
        (result.seconds[0].sent, result.seconds[0].answered),
        (20, 20)
    );
    assert_eq!(all.between_tokens.count, 10 * 5);
}

#[test]
fn crossed_answer_counts_as_wrong() {
    let engine = start_engine();
    engine.control(&control::ServerControl::WrongRequestId { count: 2 });
    let requests = vec![
        completion(0, "joiners", "llm", true),
        completion(1, "joiners", "llm", false),
    ];
    let result = play(&engine, requests);
    assert_eq!(of_team(&result, "").wrong, 2);
    assert_eq!(of_team(&result, "").answered, 0);
}

#[test]
fn cut_stream_counts_as_broken() {
    let engine = start_engine();
    engine.control(&control::ServerControl::CutStream {
        after_tokens: 2,
        count: 1,
    });
    let result = play(&engine, vec![completion(0, "joiners", "llm", true)]);
    assert_eq!(of_team(&result, "").broken, 1);
    assert_eq!(of_team(&result, "").tokens, 2);
}

#[test]
fn refusals_are_counted_by_status_and_verdict() {
    let engine = start_engine();
    let requests = vec![
        completion(0, "joiners", "other", true),
        completion(1, "joiners", "other", false),
    ];
    let result = play(&engine, requests);
    let verdicts = &of_team(&result, "").verdicts;
    assert_eq!(of_team(&result, "").refused, 2);
    assert_eq!(verdicts.len(), 1);
    assert_eq!((verdicts[0].status, verdicts[0].count), (404, 2));
    assert_eq!(verdicts[0].verdict, "not-run");
}

#[test]
fn every_second_request_goes_straight_when_asked() {
    let (through, straight) = (start_engine(), start_engine());
    let settings = load::LoadSettings {
        targets: vec![load::LoadTarget::always(through.address())],
        straight_engines: vec![load::DirectEngine::any_model(straight.address())],
        keys: load::TeamKeys::default().with("joiners", "key-1"),
        ..load::LoadSettings::default()
    };
    let requests = (0..10).map(|number| completion(number, "joiners", "llm", true));
    let run = load::LoadRun::new(settings).expect("a run");
    let result = run.play(&load::LoadTrace::new(requests.collect()));
    assert_eq!(through.ledger().requests.len(), 5);
    assert_eq!(straight.ledger().requests.len(), 5);
    assert!(through.ledger().requests[0].mentions("Bearer key-1"));
    assert!(!straight.ledger().requests[0].mentions("key-1"));
    let answered = result.route(load::RouteKind::Through, "joiners");
    assert_eq!(answered.expect("a result").answered, 5);
    assert_eq!(of_team(&result, "joiners").answered, 5);
    assert!(result.added_latency().is_some());
}

#[test]
fn order_is_sent_once_and_its_lost_answer_counts_as_broken() {
    let service = service::ServiceBuilder::new("mainc-1", "mainc");
    let service = service.start().expect("a service");
    service.control(&control::ServerControl::RunThenReset { count: 1 });
    let settings = load::LoadSettings {
        straight_services: vec![service.address()],
        ..load::LoadSettings::default()
    };
    let run = load::LoadRun::new(settings).expect("a run");
    let result = run.play(&load::LoadTrace::new(vec![order(0), order(100)]));
    let all = of_team(&result, "");
    assert_eq!((all.answered, all.broken), (1, 1));
    assert_eq!(service.ledger().runs("r-0"), 1);
    assert_eq!(service.ledger().runs("r-100"), 1);
}

#[test]
fn comparison_shows_both_results() {
    let engine = start_engine();
    let requests = || vec![completion(0, "joiners", "llm", true)];
    let first = play(&engine, requests());
    let mut second = play(&engine, requests());
    second.label = "other".to_owned();
    let table = load::ResultComparison::new(&first, &second).to_string();
    assert!(table.contains("straight, joiners"));
    assert!(table.contains("other"));
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("result.json");
    first.write(&file).expect("a written result");
    assert_eq!(load::LoadResult::read(&file).expect("a result"), first);
}

#[test]
fn instance_that_is_not_ready_gets_no_requests() {
    let (ready, unready) = (start_engine(), start_engine());
    // Nothing listens there any more.
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|gone| gone.local_addr());
    let gone = gone.expect("an address");
    let settings = load::LoadSettings {
        targets: vec![
            load::LoadTarget::always(ready.address()),
            load::LoadTarget::while_ready(unready.address(), gone),
        ],
        ..load::LoadSettings::default()
    };
    let requests = (1_000..1_010).map(|number| completion(number, "joiners", "llm", false));
    let run = load::LoadRun::new(settings).expect("a run");
    let result = run.play(&load::LoadTrace::new(requests.collect()));
    assert_eq!(ready.ledger().requests.len(), 10);
    assert!(unready.ledger().requests.is_empty());
    let answered = result.route(load::RouteKind::Through, "joiners");
    assert_eq!(answered.expect("a result").answered, 10);
}

#[test]
fn stream_that_ends_in_an_error_is_counted_with_its_kind() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 4_096]).expect("a request");
        let event = "data: {\"error\":{\"type\":\"stopping\",\"verdict\":\"ran\"}}\n\n";
        let length = event.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{event}");
        stream.write_all(answer.as_bytes()).expect("sent");
    });
    let settings = load::LoadSettings {
        straight_engines: vec![load::DirectEngine::any_model(address)],
        ..load::LoadSettings::default()
    };
    let run = load::LoadRun::new(settings).expect("a run");
    let trace = load::LoadTrace::new(vec![completion(0, "joiners", "llm", true)]);
    let result = run.play(&trace);
    server.join().expect("an answered caller");
    let all = of_team(&result, "");
    assert_eq!(all.failed_streams, 1);
    assert_eq!(all.verdicts[0].kind, "stopping");
    assert_eq!(all.verdicts[0].verdict, "ran");
}
