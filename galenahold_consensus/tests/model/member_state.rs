//! Simulated member of the model.

use std::time;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;

/// Clock rates of the members, in thousandths of real time.
const CLOCK_RATES_PERMILLE: [u64; 5] = [1_100, 900, 1_000, 900, 1_100];
const DRIFT_PERMILLE: u32 = 100;
pub(crate) const ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A member with its clock and disk; `node` is `None` while its process is down.
#[derive(Debug)]
pub(crate) struct MemberState {
    pub(crate) number: usize,
    pub(crate) node: Option<core::RaftNode>,
    pub(crate) disk: core::RecoveredState,
    pub(crate) boot: u64,
    pub(crate) applied: log::LogIndex,
    pub(crate) crash_at_sync: Option<bool>,
    pub(crate) lease_end_nanos: u64,
}

impl MemberState {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            number,
            node: None,
            disk: core::RecoveredState::default(),
            boot: 0,
            applied: log::LogIndex::ZERO,
            crash_at_sync: None,
            lease_end_nanos: 0,
        }
    }

    pub(crate) fn profile(number: usize) -> member::MemberProfile {
        let name = format!("member-{number}");
        member::MemberProfile {
            id: member::MemberId::new(number as u128 + 1),
            endpoint: member::MemberEndpoint::new(&name, &name),
        }
    }

    /// Returns the reading of the member's clock at a real time.
    pub(crate) fn clock(&self, real_nanos: u64) -> core::MonotonicTime {
        let rate = CLOCK_RATES_PERMILLE[self.number];
        core::MonotonicTime::from_nanos(real_nanos / 1_000 * rate)
    }

    /// Converts a reading of the member's clock to real time.
    pub(crate) fn real_nanos(&self, time: core::MonotonicTime) -> u64 {
        let rate = CLOCK_RATES_PERMILLE[self.number];
        time.as_nanos() / rate * 1_000
    }

    pub(crate) fn start(&mut self, genesis: &member::MembershipList, real_nanos: u64) {
        if self.node.is_some() {
            return;
        }
        self.boot += 1;
        let snapshot = self.disk.snapshot.as_ref();
        self.applied = snapshot.map_or(log::LogIndex::ZERO, |image| image.meta.position.index);
        let incarnation = (self.number as u64) << 32 | self.boot;
        let settings = core::NodeSettings {
            cluster: member::ClusterId::new(1),
            profile: Self::profile(self.number),
            boot: self.boot,
            incarnation,
            seed: incarnation,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: ELECTION_TIMEOUT / 6,
            clock_drift_permille: DRIFT_PERMILLE,
            append_budget_bytes: if self.boot.is_multiple_of(2) { 200 } else { 1 },
            append_window: 3,
            chunk_bytes: 16,
            retained_entries: 2,
            promotion_lag_entries: 2,
        };
        self.node = Some(core::RaftNode::new(
            settings,
            genesis.clone(),
            self.disk.clone(),
            self.clock(real_nanos),
        ));
    }

    pub(crate) fn crash(&mut self) {
        self.node = None;
        self.crash_at_sync = None;
    }

    /// Writes the durable part of an output to the simulated disk.
    pub(crate) fn persist(&mut self, output: &core::NodeOutput) {
        if let Some(image) = &output.install {
            self.disk.snapshot = Some(image.clone());
            self.disk.entries.clear();
        }
        if let Some(hard_state) = output.hard_state {
            self.disk.hard_state = hard_state;
        }
        for entry in &output.entries {
            let entries = &mut self.disk.entries;
            entries.retain(|held| held.position.index < entry.position.index);
            entries.push(entry.clone());
        }
    }

    pub(crate) fn take_snapshot(&mut self) {
        let Some(node) = self.node.as_mut() else {
            return;
        };
        let Some(meta) = node.snapshot_meta(self.applied) else {
            return;
        };
        let position = meta.position;
        let data = format!("state after {} of term {}", position.index, position.term);
        let image = log::SnapshotImage {
            meta,
            data: data.into(),
        };
        let newer = node
            .snapshot_position()
            .is_none_or(|held| held.index < position.index);
        if !newer || position.index == log::LogIndex::ZERO {
            return;
        }
        self.disk.snapshot = Some(image.clone());
        self.disk
            .entries
            .retain(|entry| entry.position.index > position.index);
        node.snapshot_taken(image);
    }
}
