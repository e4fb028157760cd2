//! No acknowledged change is lost or applied twice.

use std::sync;
use std::sync::atomic;
use std::thread;

use std::time;

use galenahold_testkit::{harness, proxy};
use serde_json::json;

use crate::fleet_setup;

/// Operators that give and withdraw keys at the same time.
const WRITERS: usize = 3;
/// Instances that are killed, the leader each second time.
const KILLS: usize = 4;
/// Changes that are acknowledged between a kill and the restart, and before the next kill.
const CHANGES_BETWEEN: usize = 10;

/// Delay between instances: what a leader has told nobody when it is killed is lost.
const LINK_DELAY: time::Duration = time::Duration::from_millis(20);

/// What one operator was told.
#[derive(Default)]
struct WriterRecord {
    kept: Vec<fleet_setup::AcknowledgedKey>,
    withdrawn: Vec<fleet_setup::AcknowledgedKey>,
    changes: u64,
}

/// What the operators share.
#[derive(Default)]
struct WriterState {
    stopped: atomic::AtomicBool,
    changes: atomic::AtomicUsize,
}

impl WriterState {
    fn goes_on(&self) -> bool {
        !self.stopped.load(atomic::Ordering::Relaxed)
    }

    fn count(&self) {
        self.changes.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Waits until some more changes are acknowledged.
    fn wait_changes(&self) {
        let before = self.changes.load(atomic::Ordering::Relaxed);
        harness::wait_within("changes are acknowledged", fleet_setup::LIMIT, || {
            self.changes.load(atomic::Ordering::Relaxed) >= before + CHANGES_BETWEEN
        });
    }
}

#[test]
fn acknowledged_changes_are_there_once_after_kills_of_leader_and_followers() {
    let mut control = fleet_setup::ControlFleet::start();
    let first = control.probe.revision(fleet_setup::ENTRY).expect("a look");
    let slow = proxy::LinkFault::pass().delay(LINK_DELAY);
    control.fleet.links().set_all(slow);
    let watch = harness::RevisionWatch::start(&control.probe);
    let state = sync::Arc::new(WriterState::default());
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let probe = control.probe.clone();
            let state = sync::Arc::clone(&state);
            thread::spawn(move || write_keys(&probe, writer, &state))
        })
        .collect();
    let planner = {
        let probe = control.probe.clone();
        let state = sync::Arc::clone(&state);
        thread::spawn(move || confirm_plans(&probe, &state))
    };
    for kill in 0..KILLS {
        state.wait_changes();
        let victim = if kill % 2 == 0 {
            control.leader()
        } else {
            control.follower()
        };
        control.fleet.instances_mut()[victim].kill();
        state.wait_changes();
        let instance = &mut control.fleet.instances_mut()[victim];
        instance.start().expect("a restart");
        instance.wait_ready(fleet_setup::LIMIT).expect("it is back");
    }
    state.stopped.store(true, atomic::Ordering::Relaxed);
    let plans = planner.join().expect("every plan was acknowledged");
    let records: Vec<_> = writers
        .into_iter()
        .map(|writer| writer.join().expect("every change was acknowledged"))
        .collect();
    let changes = plans + records.iter().map(|record| record.changes).sum::<u64>();
    let ids = control.key_ids(fleet_setup::ENTRY);
    for record in &records {
        control.assert_in_force(fleet_setup::ENTRY, &record.kept);
        for key in &record.withdrawn {
            assert!(!ids.contains(&key.id), "withdrawn key {} is back", key.id);
        }
    }
    let kept: usize = records.iter().map(|record| record.kept.len()).sum();
    assert_eq!(ids.len(), kept);
    // Each change moves the revision by one, so that one more or less than were acknowledged shows.
    let last = first.revision + changes;
    control.wait_revision(last);
    for instance in 0..control.probe.instances() {
        let look = control.probe.revision(instance).expect("a look");
        assert_eq!(look.revision, last, "instance {instance}");
    }
    assert_eq!(watch.finish(), []);
}

/// Gives keys until told to stop, and withdraws every third.
fn write_keys(probe: &harness::FleetProbe, writer: usize, state: &WriterState) -> WriterRecord {
    let mut record = WriterRecord::default();
    let mut number = 0;
    while state.goes_on() {
        let request = format!("writer-{writer}-{number}");
        let key = fleet_setup::give_key(probe, writer, &request);
        record.changes += 1;
        state.count();
        if number % 3 == 0 {
            let body = json!({ "request": format!("{request}-back"), "id": key.id });
            fleet_setup::acknowledged(probe, writer + 1, "/v1/keys/withdraw", &body);
            record.changes += 1;
            state.count();
            record.withdrawn.push(key);
        } else {
            record.kept.push(key);
        }
        number += 1;
    }
    record
}

/// Confirms one plan after the other until told to stop; returns how many.
fn confirm_plans(probe: &harness::FleetProbe, state: &WriterState) -> u64 {
    let mut plans = 0;
    while state.goes_on() {
        let intent = fleet_setup::intent(plans + 2);
        let plan = fleet_setup::acknowledged(
            probe,
            fleet_setup::ENTRY,
            "/v1/plans",
            &json!({ "intent": intent }),
        );
        let body = json!({
            "request": format!("plan-{plans}"),
            "base": plan["base"],
            "digest": plan["digest"],
            "intent": intent,
        });
        fleet_setup::acknowledged(probe, fleet_setup::ENTRY, "/v1/plans/confirm", &body);
        plans += 1;
        state.count();
    }
    plans
}
