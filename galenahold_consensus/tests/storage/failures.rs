//! Tests that nothing is acknowledged after a failed write.

use std::path;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::message;
use galenahold_consensus::storage;

use crate::fault_backend;
use crate::store_folder;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);

#[test]
fn failed_sync_refuses_all_later_writes() {
    let folder = store_folder::StoreFolder::new();
    let backend = fault_backend::FaultBackend::default();
    let mut store = open(&backend, &folder.path());
    backend.switch.fail_syncs(true);
    let first = store_folder::output(vec![store_folder::entry(1)]);
    store.persist(&first).expect_err("the fsync fails");
    backend.switch.fail_syncs(false);
    let second = store_folder::output(vec![store_folder::entry(2)]);
    let error = store
        .persist(&second)
        .expect_err("later writes are refused");
    assert_eq!(error.kind(), storage::StorageErrorKind::Io);
}

#[test]
fn leader_with_a_full_disk_acknowledges_no_further_commands() {
    let folder = store_folder::StoreFolder::new();
    let backend = fault_backend::FaultBackend::default();
    let member = driver::LogBuilder::new(folder.path(), "alpha")
        .voters(vec![member::MemberEndpoint::new("alpha", "alpha")])
        .backend(backend.clone())
        .start(CountMachine::default(), NoTransport)
        .expect("start");
    let handle = member.handle();
    let events = handle.subscribe();
    await_event(&events, |event| {
        matches!(event, driver::RoleEvent::Leading { .. })
    });
    handle
        .propose(b"one".to_vec(), TIMEOUT)
        .expect("the command is acknowledged");
    backend.switch.fill_disk();
    let first = handle.propose(b"two".to_vec(), TIMEOUT);
    let kind = first
        .expect_err("a command that is not durable is not acknowledged")
        .kind();
    assert_eq!(kind, driver::ProposeErrorKind::OutcomeUnknown);
    await_event(&events, |event| {
        matches!(event, driver::RoleEvent::Following { .. })
    });
    assert!(handle.lease_valid_for().is_none());
    let second = handle.propose(b"three".to_vec(), TIMEOUT);
    let kind = second.expect_err("the member is suspended").kind();
    assert_eq!(kind, driver::ProposeErrorKind::NotLeader);
    backend.switch.free_disk();
    await_event(&events, |event| {
        matches!(event, driver::RoleEvent::Leading { .. })
    });
    let third = handle.propose(b"four".to_vec(), TIMEOUT);
    let count = third.expect("the member has resumed").outcome;
    assert_eq!(count, 2, "no command is lost, applied again or added");
    member.stop();
    let recovered = folder
        .open()
        .expect("the torn write is truncated")
        .recovered;
    let commands = recovered
        .entries
        .iter()
        .filter(|entry| matches!(entry.payload, log::EntryPayload::Command(_)));
    assert_eq!(commands.count(), 2);
}

fn open(
    backend: &fault_backend::FaultBackend,
    folder: &path::Path,
) -> storage::LogStore<fault_backend::FaultBackend> {
    let opened = storage::LogStore::open(
        backend.clone(),
        folder,
        storage::StoreSettings::default(),
        &member::MemberName::new("alpha"),
        member::MemberId::new(7),
    );
    opened.expect("open").store
}

fn await_event(
    events: &crossbeam_channel::Receiver<driver::RoleEvent>,
    wanted: impl Fn(&driver::RoleEvent) -> bool,
) {
    loop {
        let event = events.recv_timeout(TIMEOUT).expect("a role event");
        if wanted(&event) {
            return;
        }
    }
}

#[derive(Default)]
struct CountMachine {
    count: u64,
}

impl driver::StateMachine for CountMachine {
    type Outcome = u64;

    fn apply(&mut self, _index: log::LogIndex, _term: log::Term, _command: &[u8]) -> u64 {
        self.count += 1;
        self.count
    }

    fn snapshot(&self) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError> {
        let bytes = snapshot.try_into().map_err(driver::RestoreError::new)?;
        self.count = u64::from_le_bytes(bytes);
        Ok(())
    }
}

struct NoTransport;

impl driver::MessageTransport for NoTransport {
    fn send(&mut self, _to: &member::MemberEndpoint, _message: message::ConsensusMessage) {}
}
