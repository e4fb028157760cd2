//! A running engine stand-in.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use super::EngineSettings;
use super::batch_loop::BatchLoop;
use super::cache_publisher::CachePublisher;
use super::engine_api::EngineApi;
use super::engine_core::EngineCore;
use super::model_table::ModelTable;
use super::prefix_cache::PrefixCache;
use super::sequence_queue::SequenceQueue;
use crate::announce;
use crate::control;
use crate::host;
use crate::http;
use crate::ledger;
use crate::state_lock;
use crate::store;
use crate::testkit_error::TestkitError;

/// Threads of one engine.
const ENGINE_THREADS: usize = 2;

/// Runs an engine until it is dropped; its ledger outlives crashes and restarts.
#[derive(Debug)]
pub struct EngineProcess {
    host: host::StandInHost,
    core: sync::Arc<EngineCore>,
    admin: net::SocketAddr,
}

impl EngineProcess {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when an address or the runtime cannot be had.
    pub(crate) fn start(
        settings: EngineSettings,
        store: Option<store::StoreTarget>,
    ) -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("engine", ENGINE_THREADS)?;
        let name = settings.announce.name.clone();
        let incarnation = host::next_incarnation();
        let ledger = ledger::ServerLedger::new(&name, incarnation, settings.memory_bytes);
        let controls = control::ControlSwitches::default();
        let parts = CoreParts {
            settings,
            store,
            incarnation,
            ledger: sync::Arc::new(ledger),
            controls: sync::Arc::new(controls),
        };
        let (core, admin) = parts.start(&host)?;
        Ok(Self { host, core, admin })
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.core.settings.announce.name
    }

    /// Returns the address for requests and orders.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.core.address
    }

    /// Returns the address for ledger and controls.
    #[must_use]
    pub fn admin(&self) -> net::SocketAddr {
        self.admin
    }

    /// Returns the number of this start.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation
    }

    /// Copies the ledger.
    #[must_use]
    pub fn ledger(&self) -> ledger::LedgerSnapshot {
        self.core.ledger.snapshot()
    }

    /// Lists what is held.
    #[must_use]
    pub fn loaded(&self) -> Vec<announce::LoadedModel> {
        self.core.models.lock().loaded()
    }

    /// Makes the engine misbehave; tells whether it has such a switch.
    pub fn control(&self, control: &control::ServerControl) -> bool {
        self.core.controls.apply(control)
    }

    /// Ends the engine at once, as a killed process would.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Tells whether the engine has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.core.scope.is_cancelled()
    }

    /// Blocks until the engine has crashed.
    pub fn wait_crashed(&self) {
        self.host.wait_cancelled();
    }

    /// Starts the engine anew at its addresses with empty memory; checkpoints on disk remain.
    ///
    /// # Errors
    ///
    /// Fails when an address was taken meanwhile.
    pub fn restart(&mut self) -> Result<(), TestkitError> {
        self.host.renew();
        let incarnation = host::next_incarnation();
        self.core.ledger.restarted(incarnation);
        self.core.controls.clear();
        let mut settings = self.core.settings.clone();
        settings.listen = self.core.address;
        settings.admin = self.admin;
        settings.models.clear();
        settings.disk_models = self.disk_models();
        let parts = CoreParts {
            settings,
            store: self.core.store.clone(),
            incarnation,
            ledger: sync::Arc::clone(&self.core.ledger),
            controls: sync::Arc::clone(&self.core.controls),
        };
        (self.core, self.admin) = parts.start(&self.host)?;
        Ok(())
    }

    /// Lists the checkpoints on disk.
    fn disk_models(&self) -> Vec<super::InitialModel> {
        let cached = self.core.models.lock().cached();
        cached
            .into_iter()
            .filter(|cached| cached.tier == announce::CacheTier::Disk)
            .map(|cached| super::InitialModel {
                model: cached.model,
                version: cached.version,
                bytes: 0,
            })
            .collect()
    }
}

/// What an incarnation is made from.
struct CoreParts {
    settings: EngineSettings,
    store: Option<store::StoreTarget>,
    incarnation: u64,
    ledger: sync::Arc<ledger::ServerLedger>,
    controls: sync::Arc<control::ControlSwitches>,
}

impl CoreParts {
    /// Binds the addresses and starts all tasks.
    fn start(
        self,
        host: &host::StandInHost,
    ) -> Result<(sync::Arc<EngineCore>, net::SocketAddr), TestkitError> {
        let server = http::HttpServer::bind(self.settings.listen)?;
        let admin = http::HttpServer::bind(self.settings.admin)?;
        let (sender, events) = mpsc::unbounded_channel();
        let scope = host.scope();
        let core = sync::Arc::new(EngineCore {
            address: server.address(),
            incarnation: self.incarnation,
            ledger: self.ledger,
            controls: self.controls,
            models: state_lock::StateLock::new(initial_table(&self.settings)),
            batch: SequenceQueue::default(),
            store: self.store,
            scope: scope.clone(),
            prefixes: state_lock::StateLock::new(PrefixCache::new(self.settings.prefix_blocks)),
            cache_events: sender,
            cache_sequence: atomic::AtomicU64::new(0),
            settings: self.settings,
        });
        record_initial(&core);
        let admin_address = admin.address();
        let admin_api = host::AdminApi::new(
            sync::Arc::clone(&core.ledger),
            sync::Arc::clone(&core.controls),
        );
        admin.serve(scope, sync::Arc::new(admin_api))?;
        let api = EngineApi::new(sync::Arc::clone(&core));
        server.serve(scope, sync::Arc::new(api))?;
        scope.spawn(BatchLoop::new(sync::Arc::clone(&core)).run());
        let announce = core.settings.announce.clone();
        let lag = time::Duration::from_millis(core.settings.cache_event_lag_ms);
        scope.spawn(CachePublisher::new(announce.instances.clone(), lag, events).run());
        scope.spawn(announce::Announcer::new(announce, sync::Arc::clone(&core)).run());
        Ok((core, admin_address))
    }
}

/// Returns what is held and cached at the start.
fn initial_table(settings: &EngineSettings) -> ModelTable {
    let mut table = ModelTable::new(settings.memory_checkpoints, settings.disk_checkpoints);
    for initial in &settings.models {
        table.insert(announce::LoadedModel {
            model: initial.model.clone(),
            version: initial.version.clone(),
            adapter: None,
            bytes: initial.bytes,
            order: 0,
            state: announce::ReplicaState::Ready,
        });
        table.cache_on_disk(&initial.model, &initial.version);
    }
    for cached in &settings.disk_models {
        table.cache_on_disk(&cached.model, &cached.version);
    }
    table
}

/// Enters what is held at the start into the ledger.
fn record_initial(core: &EngineCore) {
    let table = core.models.lock();
    for initial in &core.settings.models {
        core.record_held(&table, &initial.model);
    }
}
