//! Simulated machine of the core, whose process and disk come and go.

use std::time;

use galenahold_consensus::bootstrap;
use galenahold_consensus::core;
use galenahold_consensus::driver;
use galenahold_consensus::member;

/// A machine: its address, its disk and its process.
#[derive(Debug, Clone)]
pub(crate) struct CoreMachine {
    pub(crate) address: usize,
    /// Identity of the disk; a new disk gets a new one.
    pub(crate) id: member::MemberId,
    pub(crate) disk: core::RecoveredState,
    /// First membership of the group, once the disk belongs to it.
    pub(crate) genesis: Option<member::MembershipList>,
    pub(crate) boot: u64,
    pub(crate) runs: bool,
    pub(crate) node: Option<core::RaftNode>,
    pub(crate) joiners: bootstrap::JoinerTable,
    /// Whether the process has got SIGTERM.
    pub(crate) leaving: bool,
    election_timeout: time::Duration,
    /// How often the process has told another leader that it stops.
    pub(crate) announcements: u32,
}

impl CoreMachine {
    pub(crate) fn new(address: usize, id: u128, election_timeout: time::Duration) -> Self {
        Self {
            address,
            id: member::MemberId::new(id),
            disk: core::RecoveredState::default(),
            genesis: None,
            boot: 0,
            runs: false,
            node: None,
            joiners: bootstrap::JoinerTable::default(),
            leaving: false,
            election_timeout,
            announcements: 0,
        }
    }

    pub(crate) fn endpoint(address: usize) -> member::MemberEndpoint {
        let name = format!("core-{address}");
        member::MemberEndpoint::new(&name, &name)
    }

    pub(crate) fn profile(&self) -> member::MemberProfile {
        member::MemberProfile {
            id: self.id,
            endpoint: Self::endpoint(self.address),
        }
    }

    /// Starts the process; with a disk that belongs to no group it only announces itself.
    pub(crate) fn start(&mut self, now: core::MonotonicTime) {
        self.runs = true;
        self.leaving = false;
        self.announcements = 0;
        self.boot += 1;
        let Some(genesis) = &self.genesis else {
            return;
        };
        let timeout = self.election_timeout;
        let incarnation = (self.address as u64) << 32 | self.boot;
        let settings = core::NodeSettings {
            cluster: member::ClusterId::new(1),
            profile: self.profile(),
            boot: self.boot,
            incarnation,
            seed: incarnation,
            election_timeout: timeout,
            heartbeat_interval: timeout / 6,
            clock_drift_permille: 0,
            append_budget_bytes: 1_000,
            append_window: 8,
            chunk_bytes: 1_000,
            retained_entries: 1_000,
            promotion_lag_entries: 2,
        };
        let genesis = genesis.clone();
        self.node = Some(core::RaftNode::new(
            settings,
            genesis,
            self.disk.clone(),
            now,
        ));
    }

    pub(crate) fn stop(&mut self) {
        self.runs = false;
        self.node = None;
        self.joiners = bootstrap::JoinerTable::default();
    }

    pub(crate) fn join(&mut self, genesis: member::MembershipList, now: core::MonotonicTime) {
        self.genesis = Some(genesis);
        self.start(now);
    }

    pub(crate) fn is_leader(&self) -> bool {
        let node = self.node.as_ref();
        node.is_some_and(|node| node.role() == core::NodeRole::Leader)
    }

    /// Returns the status that the product's planner gets.
    pub(crate) fn status(&self, now: core::MonotonicTime) -> Option<driver::LogStatus> {
        let mut status = driver::LogStatus::of_node(self.node.as_ref()?, now);
        status.joiners = self.joiners.current(now);
        Some(status)
    }

    /// Announces to another member that leads that this process stops.
    pub(crate) fn announce_leaving(&mut self, now: core::MonotonicTime) {
        let id = self.id;
        let Some(node) = self.node.as_mut() else {
            return;
        };
        node.announce_leaving(now);
        if node.leader().is_some_and(|leader| leader != id) {
            self.announcements += 1;
        }
    }

    /// Returns whether a stopping process waits for its removal from the group no longer.
    pub(crate) fn has_left(&self, voters: usize, now: core::MonotonicTime) -> bool {
        let is_over = |status: driver::LogStatus| {
            status.removed || (status.is_needed(voters) && self.announcements > 0)
        };
        self.status(now).is_none_or(is_over)
    }

    /// Writes the durable part of an output to the disk.
    pub(crate) fn persist(&mut self, output: &core::NodeOutput) {
        if let Some(hard_state) = output.hard_state {
            self.disk.hard_state = hard_state;
        }
        for entry in &output.entries {
            let entries = &mut self.disk.entries;
            entries.retain(|held| held.position.index < entry.position.index);
            entries.push(entry.clone());
        }
    }
}
