//! Test harness: a replicated log with all members in one process.

use std::cell;
use std::collections;
use std::fs;
use std::path;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::log;
use galenahold_consensus::member;

use crate::fault_backend;
use crate::local_network;
use crate::polling;
use crate::text_machine;

pub(crate) type Handle = driver::LogHandle<text_machine::TextMachine>;

pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Members of one group, with data folders below one temporary folder.
pub(crate) struct LocalGroup {
    folder: tempfile::TempDir,
    network: local_network::LocalNetwork,
    members: collections::BTreeMap<String, driver::ReplicatedLog<text_machine::TextMachine>>,
    switches: collections::BTreeMap<String, fault_backend::FaultSwitch>,
    voters: Vec<member::MemberEndpoint>,
    /// How often each command was committed, and whether a proposal of it had an unknown outcome.
    commits: cell::RefCell<collections::HashMap<String, (usize, bool)>>,
}

impl LocalGroup {
    const SNAPSHOT_ENTRIES: u64 = 100;
    const RETAINED_ENTRIES: u64 = 10;

    pub(crate) fn bootstrap(names: &[&str]) -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().expect("temporary folder"),
            network: local_network::LocalNetwork::default(),
            members: collections::BTreeMap::new(),
            switches: collections::BTreeMap::new(),
            voters: names
                .iter()
                .map(|name| member::MemberEndpoint::new(name, name))
                .collect(),
            commits: cell::RefCell::default(),
        };
        for name in names {
            group.start(name);
        }
        group
    }

    pub(crate) fn builder(&self, name: &str) -> driver::LogBuilder {
        driver::LogBuilder::new(self.data_folder(name), name)
            .voters(self.voters.clone())
            .snapshot_entries(Self::SNAPSHOT_ENTRIES)
            .retained_entries(Self::RETAINED_ENTRIES)
    }

    pub(crate) fn start(&mut self, name: &str) -> Handle {
        self.start_at(name, name)
    }

    pub(crate) fn start_at(&mut self, name: &str, address: &str) -> Handle {
        let switch = fault_backend::FaultSwitch::default();
        let backend = fault_backend::FaultBackend {
            switch: switch.clone(),
        };
        let member = self
            .builder(name)
            .address(address)
            .backend(backend)
            .start(text_machine::TextMachine::default(), self.network.clone())
            .expect("start");
        let handle = member.handle();
        self.switches.insert(name.to_owned(), switch);
        self.network.attach(name, address, handle.clone());
        self.members.insert(name.to_owned(), member);
        handle
    }

    pub(crate) fn stop(&mut self, name: &str) {
        self.network.detach(name);
        let member = self.members.remove(name).expect("running member");
        member.stop();
    }

    pub(crate) fn network(&self) -> &local_network::LocalNetwork {
        &self.network
    }

    pub(crate) fn data_folder(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the switch that injects disk failures at a member.
    pub(crate) fn disk(&self, name: &str) -> &fault_backend::FaultSwitch {
        self.switches.get(name).expect("started member")
    }

    pub(crate) fn handle(&self, name: &str) -> Handle {
        self.members.get(name).expect("running member").handle()
    }

    pub(crate) fn leader(&self) -> (String, Handle) {
        polling::until("a member becomes leader", || {
            self.members.iter().find_map(|(name, member)| {
                let handle = member.handle();
                handle
                    .lease_valid_for()
                    .is_some()
                    .then(|| (name.clone(), handle))
            })
        })
    }

    /// Proposes a command until a leader acknowledges it; the command may be committed twice.
    pub(crate) fn commit(&self, command: &str) -> log::LogPosition {
        polling::until("a command is committed", || {
            let (_, handle) = self.leader();
            let result = handle.propose(command.as_bytes().to_vec(), TIMEOUT);
            let mut commits = self.commits.borrow_mut();
            let (count, is_unknown) = commits.entry(command.to_owned()).or_default();
            *count += usize::from(result.is_ok());
            *is_unknown |= matches!(result, Err(driver::ProposeError::OutcomeUnknown));
            result.ok().map(|committed| committed.position)
        })
    }

    /// Removes the repeats of commands that were committed once, after a proposal whose outcome was unknown:
    /// a busy leader may lose its lease between a commit and its reply. No other command may be repeated.
    fn without_repeats(&self, mut lines: Vec<String>) -> Vec<String> {
        let commits = self.commits.borrow();
        let may_repeat = |line: &str| matches!(commits.get(line), Some((1, true)));
        lines.dedup_by(|next, line| next == line && may_repeat(line));
        lines
    }

    /// Waits until a member has applied this many commands, not counting permitted repeats.
    pub(crate) fn await_lines(&self, name: &str, count: usize) -> Vec<String> {
        let handle = self.handle(name);
        polling::until("all lines are applied", || {
            let lines = handle.read_local(TIMEOUT, |machine| machine.lines.clone());
            let lines = self.without_repeats(lines.ok()?);
            (lines.len() >= count).then_some(lines)
        })
    }

    /// Waits until a member has applied exactly what another one showed, repeats included.
    pub(crate) fn await_same_lines(&self, name: &str, expected: &[String]) {
        let handle = self.handle(name);
        polling::until("the same lines are applied", || {
            let lines = handle.read_local(TIMEOUT, |machine| machine.lines.clone());
            (lines.ok()? == expected).then_some(())
        });
    }

    pub(crate) fn bytes_on_disk(&self, name: &str) -> u64 {
        fs::read_dir(self.data_folder(name))
            .expect("data folder")
            .filter_map(Result::ok)
            .filter_map(|entry| entry.metadata().ok())
            .map(|metadata| metadata.len())
            .sum()
    }
}
