//! Configuration and start of a member.

use std::path;
use std::sync;
use std::thread;
use std::time;

use snafu::ResultExt;

use crate::bootstrap;
use crate::core;
use crate::driver;
use crate::driver::start_error;
use crate::member;
use crate::storage;

/// A builder that configures a member of a replicated log and starts it.
#[derive(Debug, Clone)]
#[must_use]
pub struct LogBuilder<B = storage::FileBackend> {
    backend: B,
    folder: path::PathBuf,
    name: member::MemberName,
    address: Option<member::MemberAddress>,
    voters: Vec<member::MemberEndpoint>,
    may_found: bool,
    election_timeout: time::Duration,
    heartbeat_interval: time::Duration,
    clock_drift_permille: u32,
    snapshot_entries: u64,
    snapshot_bytes: u64,
    retained_entries: u64,
    pending_proposals: usize,
    command_bytes: usize,
    store: storage::StoreSettings,
}

impl LogBuilder {
    /// Creates a builder with default settings for a data folder and the member's name.
    pub fn new(folder: impl Into<path::PathBuf>, name: &str) -> Self {
        const ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(300);
        const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(50);
        const CLOCK_DRIFT_PERMILLE: u32 = 10;
        const SNAPSHOT_ENTRIES: u64 = 10_000;
        const SNAPSHOT_BYTES: u64 = 16 * 1024 * 1024;
        const RETAINED_ENTRIES: u64 = 1_000;
        const PENDING_PROPOSALS: usize = 8_192;
        const COMMAND_BYTES: usize = 1024 * 1024;
        Self {
            backend: storage::FileBackend,
            folder: folder.into(),
            name: member::MemberName::new(name),
            address: None,
            voters: Vec::new(),
            may_found: true,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            clock_drift_permille: CLOCK_DRIFT_PERMILLE,
            snapshot_entries: SNAPSHOT_ENTRIES,
            snapshot_bytes: SNAPSHOT_BYTES,
            retained_entries: RETAINED_ENTRIES,
            pending_proposals: PENDING_PROPOSALS,
            command_bytes: COMMAND_BYTES,
            store: storage::StoreSettings::default(),
        }
    }
}

impl<B: storage::StorageBackend> LogBuilder<B> {
    const GREETING_INTERVAL: time::Duration = time::Duration::from_millis(50);
    const PENDING_BYTES: usize = 64 * 1024 * 1024;
    const BATCH_INPUTS: usize = 1_024;
    const INBOX_INPUTS: usize = 65_536;
    const APPEND_BUDGET_BYTES: usize = 256 * 1024;
    const APPEND_WINDOW: usize = 32;
    const CHUNK_BYTES: usize = 512 * 1024;
    const PROMOTION_LAG_ENTRIES: u64 = 64;

    /// Replaces the storage backend, for tests that inject failures.
    pub fn backend<C: storage::StorageBackend>(self, backend: C) -> LogBuilder<C> {
        LogBuilder {
            backend,
            folder: self.folder,
            name: self.name,
            address: self.address,
            voters: self.voters,
            may_found: self.may_found,
            election_timeout: self.election_timeout,
            heartbeat_interval: self.heartbeat_interval,
            clock_drift_permille: self.clock_drift_permille,
            snapshot_entries: self.snapshot_entries,
            snapshot_bytes: self.snapshot_bytes,
            retained_entries: self.retained_entries,
            pending_proposals: self.pending_proposals,
            command_bytes: self.command_bytes,
            store: self.store,
        }
    }

    /// Sets the initial voters of a group, including this member.
    ///
    /// Once the group exists, only its committed membership counts; a member with an empty data
    /// folder then uses the list only to find members that it can ask to join.
    pub fn voters(mut self, voters: Vec<member::MemberEndpoint>) -> Self {
        self.voters = voters;
        self
    }

    /// Sets whether a member with an empty data folder may bootstrap a group, or only join one.
    ///
    /// A member whose folder was emptied must not bootstrap a second group beside its former one.
    pub fn may_found(mut self, may_found: bool) -> Self {
        self.may_found = may_found;
        self
    }

    /// Sets this member's address, which takes precedence over the one in the list of voters.
    pub fn address(mut self, address: &str) -> Self {
        self.address = Some(member::MemberAddress::new(address));
        self
    }

    /// Sets the shortest time without contact to a leader after which a member starts an election.
    pub fn election_timeout(mut self, timeout: time::Duration) -> Self {
        self.election_timeout = timeout;
        self
    }

    /// Sets the interval at which the leader sends heartbeats.
    pub fn heartbeat_interval(mut self, interval: time::Duration) -> Self {
        self.heartbeat_interval = interval;
        self
    }

    /// Sets the maximum deviation of a member's clock rate, in thousandths.
    pub fn clock_drift_permille(mut self, permille: u32) -> Self {
        self.clock_drift_permille = permille;
        self
    }

    /// Sets the number of entries after which a snapshot is taken.
    pub fn snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// Sets the total size of commands, in bytes, after which a snapshot is taken.
    pub fn snapshot_bytes(mut self, bytes: u64) -> Self {
        self.snapshot_bytes = bytes;
        self
    }

    /// Sets the number of entries before a snapshot that stay in memory for lagging members.
    pub fn retained_entries(mut self, entries: u64) -> Self {
        self.retained_entries = entries;
        self
    }

    /// Sets the maximum number of pending proposals; further ones are refused as busy.
    pub fn pending_proposals(mut self, proposals: usize) -> Self {
        self.pending_proposals = proposals;
        self
    }

    /// Sets the maximum size of a command in bytes.
    pub fn command_bytes(mut self, bytes: usize) -> Self {
        self.command_bytes = bytes;
        self
    }

    /// Sets the settings of durable storage.
    pub fn store_settings(mut self, settings: storage::StoreSettings) -> Self {
        self.store = settings;
        self
    }

    /// Opens the data folder, restores the state machine and starts the member's thread.
    ///
    /// # Errors
    ///
    /// The data folder is unusable, the state machine rejects its snapshot, a thread could not be
    /// spawned, or the settings give this member no address.
    pub fn start<S, T>(
        self,
        mut machine: S,
        transport: T,
    ) -> Result<driver::ReplicatedLog<S>, driver::StartError>
    where
        S: driver::StateMachine,
        T: driver::MessageTransport,
    {
        let endpoint = self.endpoint()?;
        let new_id = member::MemberId::new(rand::random());
        let opened = storage::LogStore::open(
            self.backend.clone(),
            &self.folder,
            self.store,
            &self.name,
            new_id,
        )
        .context(start_error::StorageSnafu)?;
        if let Some(image) = &opened.recovered.snapshot {
            machine
                .restore(&image.data)
                .context(start_error::RestoreSnafu)?;
        }
        let profile = member::MemberProfile {
            id: opened.store.identity().member,
            endpoint,
        };
        let clock = driver::DriverClock::start();
        let status = driver::LogStatus::unjoined(profile.clone());
        let view = sync::Arc::new(driver::SharedView::new(clock, status));
        let (sender, inbox) = crossbeam_channel::bounded(Self::INBOX_INPUTS);
        let handle = driver::LogHandle::new(sender.clone(), sync::Arc::clone(&view));
        let writer =
            driver::SnapshotWriter::spawn(self.name.as_str(), opened.store.snapshots(), sender)
                .context(start_error::SpawnSnafu)?;
        let node_settings = self.node_settings(&profile, opened.store.identity().boot);
        let bootstrap = bootstrap::GroupBootstrap::new(
            profile,
            self.voters.clone(),
            Self::GREETING_INTERVAL,
            clock.now(),
        )
        .with_may_found(self.may_found);
        let thread = driver::LogThread::new(driver::ThreadParts {
            settings: self.driver_settings(),
            node_settings,
            clock,
            bootstrap,
            opened,
            machine,
            transport,
            inbox,
            view,
            writer,
        });
        let thread = thread::Builder::new()
            .name(format!("log-{}", self.name))
            .spawn(move || thread.run())
            .context(start_error::SpawnSnafu)?;
        Ok(driver::ReplicatedLog::new(handle, thread))
    }

    fn endpoint(&self) -> Result<member::MemberEndpoint, driver::StartError> {
        let listed = self.voters.iter().find(|voter| voter.name == self.name);
        if let Some(address) = &self.address {
            return Ok(member::MemberEndpoint {
                name: self.name.clone(),
                address: address.clone(),
            });
        }
        listed.cloned().ok_or(driver::StartError::Address)
    }

    fn node_settings(&self, profile: &member::MemberProfile, boot: u64) -> core::NodeSettings {
        core::NodeSettings {
            cluster: member::ClusterId::new(0),
            profile: profile.clone(),
            boot,
            incarnation: rand::random(),
            seed: rand::random(),
            election_timeout: self.election_timeout,
            heartbeat_interval: self.heartbeat_interval,
            clock_drift_permille: self.clock_drift_permille,
            append_budget_bytes: Self::APPEND_BUDGET_BYTES,
            append_window: Self::APPEND_WINDOW,
            chunk_bytes: Self::CHUNK_BYTES,
            retained_entries: self.retained_entries,
            promotion_lag_entries: Self::PROMOTION_LAG_ENTRIES,
        }
    }

    fn driver_settings(&self) -> driver::DriverSettings {
        driver::DriverSettings {
            batch_inputs: Self::BATCH_INPUTS,
            pending_proposals: self.pending_proposals,
            pending_bytes: Self::PENDING_BYTES.max(self.command_bytes),
            command_bytes: self.command_bytes,
            snapshot_entries: self.snapshot_entries,
            snapshot_bytes: self.snapshot_bytes,
        }
    }
}
