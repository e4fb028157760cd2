//! Updates hold what has changed, and followers of another leader get all of it.

use std::time;

use galenahold_routing::load;

use crate::fixture;

#[test]
fn an_update_holds_only_servers_whose_rounded_load_changed() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    for number in 0..90 {
        let server = format!("engine-{number}");
        clock.record("entry-1", &[fixture::used(&server, 16)]);
    }
    let full = clock.update(view.version()).expect("an update is due");
    assert!(full.is_full);
    assert_eq!((full.servers.len(), full.running.size()), (90, 90));
    assert!(view.apply(&full, clock.now));
    clock.pass(800);
    for number in 0..90 {
        let server = format!("engine-{number}");
        let running = if number % 30 == 7 { 24 } else { 17 };
        clock.record("entry-1", &[fixture::used(&server, running)]);
    }
    let update = clock.update(view.version()).expect("an update is due");
    assert!(!update.is_full);
    assert_eq!(
        (update.servers.len(), update.running.iter().count()),
        (0, 3)
    );
    assert!(view.apply(&update, clock.now));
    assert_eq!(fixture::running(&view, "engine-7"), Some(24));
    assert_eq!(fixture::running(&view, "engine-67"), Some(24));
    assert_eq!(fixture::running(&view, "engine-8"), Some(16));
}

#[test]
fn a_follower_of_an_earlier_leader_gets_a_full_update() {
    let mut earlier = fixture::TableClock::collected(3);
    let mut view = load::LoadView::default();
    earlier.record("entry-1", &[fixture::used("engine-1", 8)]);
    assert!(earlier.refresh(&mut view));
    let mut next = fixture::TableClock::collected(4);
    next.pass(60_000);
    next.record("entry-2", &[fixture::used("engine-2", 2)]);
    let update = next.update(view.version()).expect("an update is due");
    assert!(update.is_full);
    assert!(view.apply(&update, next.now));
    assert_eq!(view.version().term, 4);
    assert_eq!(fixture::running(&view, "engine-1"), None);
    assert_eq!(fixture::running(&view, "engine-2"), Some(2));
}

#[test]
fn a_partial_update_of_another_term_is_refused_and_a_full_one_requested() {
    let mut clock = fixture::TableClock::collected(3);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 8)]);
    assert!(clock.refresh(&mut view));
    clock.pass(800);
    let mut update = clock.update(view.version()).expect("an update is due");
    update.version.term = 4;
    assert!(!view.apply(&update, clock.now));
    assert_eq!(view.version(), load::LoadVersion::default());
    assert_eq!(
        fixture::running(&view, "engine-1"),
        Some(8),
        "the stale view decays by age"
    );
}

#[test]
fn a_new_leader_sends_no_loads_until_every_instance_could_report() {
    let now = time::Instant::now();
    let mut table = load::FleetLoadTable::new(1, now);
    table.record(&"entry-1".into(), &[fixture::used("engine-1", 1)], now);
    let early = now + time::Duration::from_millis(900);
    table.sum_up(|_| true, early);
    let have = load::LoadVersion::default();
    assert_eq!(table.update_since(have, true, early), None);
    let waited = time::Duration::from_millis(900);
    assert!(table.wake_delay(have, true, waited, early) > time::Duration::ZERO);
    let later = now + time::Duration::from_secs(1);
    assert!(table.update_since(have, true, later).is_some());
}

#[test]
fn changed_loads_alone_end_a_held_request_late_and_unchanged_ones_never() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 1)]);
    assert!(clock.refresh(&mut view));
    let have = view.version();
    clock.pass(700);
    clock.record("entry-1", &[fixture::used("engine-1", 1)]);
    clock.pass(1_100);
    clock.table.sum_up(|_| true, clock.now);
    let wakes = |clock: &fixture::TableClock, urgent, waited_ms| {
        let waited = time::Duration::from_millis(waited_ms);
        let delay = clock.table.wake_delay(have, urgent, waited, clock.now);
        delay.is_zero()
    };
    assert!(!wakes(&clock, true, 1_800));
    clock.record("entry-1", &[fixture::used("engine-1", 2)]);
    clock.pass(200);
    clock.table.sum_up(|_| true, clock.now);
    assert!(!wakes(&clock, false, 799));
    assert!(wakes(&clock, false, 800));
    assert!(!wakes(&clock, true, 249));
    assert!(wakes(&clock, true, 250));
}

#[test]
fn replies_for_other_reasons_carry_loads_only_when_the_view_is_old() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 1)]);
    assert!(clock.refresh(&mut view));
    clock.pass(400);
    clock.record("entry-1", &[fixture::used("engine-1", 2)]);
    assert_eq!(clock.update(view.version()), None);
    clock.pass(400);
    assert!(clock.refresh(&mut view));
    assert_eq!(fixture::running(&view, "engine-1"), Some(2));
}

#[test]
fn a_number_given_to_another_server_does_not_carry_the_old_load() {
    let mut clock = fixture::TableClock::collected(1);
    let mut view = load::LoadView::default();
    clock.record("entry-1", &[fixture::used("engine-1", 8)]);
    assert!(clock.refresh(&mut view));
    clock.pass(10_000);
    clock.table.sum_up(|_| false, clock.now);
    let mut idle = fixture::used("engine-2", 0);
    idle.paces = vec![fixture::sample("model-1", 30_000)];
    clock.record("entry-1", &[idle]);
    clock.pass(800);
    assert!(clock.refresh(&mut view));
    assert_eq!(fixture::running(&view, "engine-1"), None);
    assert_eq!(fixture::running(&view, "engine-2"), Some(0));
}

#[test]
fn levels_are_exact_for_few_calls_and_hold_back_small_changes() {
    for load in [0, 1, 2, 3, 4, 6, 8, 12, 256, 512] {
        assert_eq!(load::LoadLevel::nearest(load).load(), load);
    }
    assert_eq!(load::LoadLevel::nearest(10_000).load(), 512);
    assert_eq!(load::LoadLevel::nearest(13).load(), 12);
    assert_eq!(load::LoadLevel::nearest(15).load(), 16);
    let level = load::LoadLevel::nearest(16);
    assert_eq!(level.follow(14), level);
    assert_eq!(level.follow(21), level);
    assert_eq!(level.follow(13).load(), 12);
    assert_eq!(level.follow(22).load(), 24);
    assert_eq!(level.follow(0).load(), 0);
}

#[test]
fn an_old_view_counts_half_after_two_seconds_and_nothing_after_six() {
    let weight = |age_ms| load::ViewDecay::weight(time::Duration::from_millis(age_ms));
    for (age_ms, expected) in [
        (0, 1.0),
        (1_000, 1.0),
        (2_000, 0.5),
        (4_000, 0.25),
        (6_000, 0.0),
    ] {
        assert!(
            (weight(age_ms) - expected).abs() < 1e-9,
            "after {age_ms} ms"
        );
    }
    assert!(weight(60_000).abs() < 1e-9);
}

#[test]
fn values_of_distant_servers_survive_a_column() {
    let mut column = load::LoadColumn::default();
    let values = [(0, 3), (7, 30), (8, 0), (16, 7), (40, 18), (900, 31)];
    for (number, value) in values {
        column.push(number, value);
    }
    let read: Vec<_> = column.iter().collect();
    assert_eq!(
        read,
        [(0, 3), (7, 30), (8, 0), (16, 7), (40, 18), (900, 30)]
    );
}
