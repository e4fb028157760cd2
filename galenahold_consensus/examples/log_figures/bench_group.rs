//! A replicated log with all members in this process.

use std::path;
use std::thread;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::member;

use crate::bench_network;
use crate::blob_machine;

/// Members of one group, with data folders below one temporary folder.
pub(crate) struct BenchGroup {
    pub(crate) network: bench_network::BenchNetwork,
    members: Vec<driver::ReplicatedLog<blob_machine::BlobMachine>>,
    names: Vec<String>,
    _folder: tempfile::TempDir,
}

impl BenchGroup {
    pub(crate) fn bootstrap(
        folder: &path::Path,
        size: usize,
        state_bytes: usize,
        adjust: impl Fn(driver::LogBuilder) -> driver::LogBuilder,
    ) -> Self {
        let folder = tempfile::tempdir_in(folder).expect("temporary folder");
        let network = bench_network::BenchNetwork::default();
        let names: Vec<String> = (0..size).map(|number| format!("member-{number}")).collect();
        let voters: Vec<member::MemberEndpoint> = names
            .iter()
            .map(|name| member::MemberEndpoint::new(name, name))
            .collect();
        let members = names.iter().map(|name| {
            let builder = driver::LogBuilder::new(folder.path().join(name), name);
            let member = adjust(builder.voters(voters.clone()))
                .start(blob_machine::BlobMachine::new(state_bytes), network.clone())
                .expect("start");
            network.attach(name, member.handle());
            member
        });
        Self {
            members: members.collect(),
            network: network.clone(),
            names,
            _folder: folder,
        }
    }

    pub(crate) fn handle(&self, number: usize) -> bench_network::Handle {
        self.members[number].handle()
    }

    pub(crate) fn name(&self, number: usize) -> &str {
        &self.names[number]
    }

    /// Waits until a member other than `except` leads and returns its number.
    pub(crate) fn leader(&self, except: Option<usize>) -> usize {
        loop {
            let leading = |number: &usize| {
                Some(*number) != except && self.handle(*number).lease_valid_for().is_some()
            };
            if let Some(number) = (0..self.members.len()).find(leading) {
                return number;
            }
            thread::sleep(time::Duration::from_micros(200));
        }
    }
}
