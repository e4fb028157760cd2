//! Uses of servers are summed up over instances and expire.

use std::time;

use galenahold_routing::load;

use crate::fixture;

#[test]
fn uses_of_several_instances_add_up_without_the_own_part() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    let own = [fixture::used("engine-1", 2)];
    view.record_report(&own, clock.now);
    clock.record("entry-1", &own);
    clock.record("entry-2", &[fixture::used("engine-1", 3)]);
    clock.record(
        "entry-3",
        &[fixture::used("engine-1", 7), fixture::used("engine-2", 1)],
    );
    assert!(clock.refresh(&mut view));
    let load = fixture::load_of(&view, "engine-1").expect("the server is in the view");
    assert_eq!((load.running, load.unread_tokens), (10, 5_120));
    assert_eq!(load.cache_tokens, 20_480);
    assert_eq!(load.started_ms, fixture::STARTED_MS);
    assert_eq!(fixture::running(&view, "engine-2"), Some(1));
}

#[test]
fn an_own_report_that_the_sum_lacks_is_not_subtracted() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 1)]);
    view.record_report(&[fixture::used("engine-1", 1)], clock.now);
    clock.record("entry-2", &[fixture::used("engine-1", 3)]);
    let update = clock.update(view.version()).expect("an update is due");
    // A later report of this instance overtakes the update.
    let later = clock.now + time::Duration::from_millis(5);
    view.record_report(&[fixture::used("engine-1", 4)], later);
    assert!(view.apply(&update, clock.now));
    assert_eq!(fixture::running(&view, "engine-1"), Some(3));
}

#[test]
fn the_part_of_a_frozen_instance_expires_and_the_rest_stays() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("frozen", &[fixture::used("engine-1", 8)]);
    clock.record("entry-2", &[fixture::used("engine-1", 4)]);
    assert!(clock.refresh(&mut view));
    assert_eq!(fixture::running(&view, "engine-1"), Some(12));
    for _ in 0..3 {
        clock.pass(700);
        clock.record("entry-2", &[fixture::used("engine-1", 4)]);
    }
    assert!(clock.refresh(&mut view));
    assert_eq!(fixture::running(&view, "engine-1"), Some(4));
}

#[test]
fn a_lost_report_of_an_idle_server_does_not_keep_its_load() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 8)]);
    assert!(clock.refresh(&mut view));
    // The report with zero calls was lost; later ones do not list the server.
    for _ in 0..3 {
        clock.pass(700);
        clock.record("entry-1", &[fixture::used("engine-2", 1)]);
    }
    assert!(clock.refresh(&mut view));
    assert_eq!(fixture::running(&view, "engine-1"), Some(0));
}

#[test]
fn a_restart_discards_loads_and_factor_and_late_reports_of_the_earlier_start() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    for round in 0..8 {
        clock.pass(400);
        for (server, event_us) in [("engine-1", 90_000), ("engine-2", 30_000)] {
            let mut used = fixture::used(server, 5);
            used.paces = vec![fixture::sample("model-1", event_us)];
            clock.record("entry-1", &[used]);
        }
        assert_eq!(
            clock.refresh(&mut view),
            round % 2 == 0,
            "an update each 800 ms"
        );
    }
    let before = fixture::load_of(&view, "engine-1").expect("the server is in the view");
    assert!(before.pace.is_some_and(|pace| pace > 1.3), "{before:?}");
    let mut restarted = fixture::used("engine-1", 1);
    restarted.started_ms += 1;
    clock.pass(400);
    clock.record("entry-2", &[restarted]);
    clock.record("entry-1", &[fixture::used("engine-1", 5)]);
    clock.pass(400);
    assert!(clock.refresh(&mut view));
    let after = fixture::load_of(&view, "engine-1").expect("the server is in the view");
    assert_eq!(after.started_ms, fixture::STARTED_MS + 1);
    assert_eq!((after.running, after.pace), (1, None));
    assert!(clock.table.paces().all(|(server, started_ms, _)| {
        server.to_string() != "engine-1" || started_ms > fixture::STARTED_MS
    }));
}

#[test]
fn a_reporter_lists_idle_servers_once_and_limits_its_lists() {
    let mut reporter = load::UseReporter::default();
    let now = time::Instant::now();
    let listed = reporter.take([fixture::used("engine-1", 1)].into_iter(), now);
    assert_eq!(listed.len(), 1);
    let early = now + time::Duration::from_millis(60);
    let listed = reporter.take([fixture::used("engine-1", 2)].into_iter(), early);
    assert!(listed.is_empty(), "{listed:?}");
    let later = now + time::Duration::from_millis(700);
    for pace_us in [30_000, 75_000, 31_000] {
        let sample = fixture::sample("model-1", pace_us);
        reporter.record_pace(&"engine-2".into(), fixture::STARTED_MS, sample);
    }
    let mut listed = reporter.take(std::iter::empty(), later);
    listed.sort_by(|one, other| one.server.cmp(&other.server));
    assert_eq!(listed.len(), 2);
    assert_eq!(listed[0].running, 0);
    // Rounded to units of 1,024 microseconds.
    assert_eq!(listed[1].paces[0].event_us, 30_720);
    let last = later + time::Duration::from_millis(700);
    assert!(reporter.take(std::iter::empty(), last).is_empty());
}

#[test]
fn measurements_beyond_the_size_of_a_list_wait_for_the_next_one() {
    let mut reporter = load::UseReporter::default();
    for number in 0..10 {
        let server = format!("engine-{number}").into();
        let sample = fixture::sample("model-1", 30_720);
        reporter.record_pace(&server, fixture::STARTED_MS, sample);
    }
    let mut now = time::Instant::now();
    let mut seen = Vec::new();
    for round in 0..3 {
        for used in reporter.take(std::iter::empty(), now) {
            // Servers that are measured all the time must not keep out the others.
            let sample = fixture::sample("model-1", 30_720);
            reporter.record_pace(&used.server, fixture::STARTED_MS, sample);
            seen.push(used.server);
        }
        assert_eq!(seen.len(), 4 * (round + 1));
        now += time::Duration::from_millis(700);
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 10);
}
