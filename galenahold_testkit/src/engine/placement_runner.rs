//! Loading and unloading.

use std::sync;
use std::time;

use http::StatusCode;

use super::engine_core::EngineCore;
use super::load_order::LoadOrder;
use crate::announce;
use crate::ledger;

/// Pause between looks at a load or unload that another order began.
const TABLE_POLL: time::Duration = time::Duration::from_millis(2);

/// Carries out one load or unload order.
#[derive(Debug)]
pub(crate) struct PlacementRunner {
    core: sync::Arc<EngineCore>,
    order: LoadOrder,
}

/// What to do about an entry that is already there.
enum Entry {
    Ready,
    Busy,
    Refused(StatusCode),
    Begun,
}

impl PlacementRunner {
    /// Makes the runner of `order`.
    pub(crate) fn new(core: sync::Arc<EngineCore>, order: LoadOrder) -> Self {
        Self { core, order }
    }

    /// Runs the order to its end, also when its sender has gone, and returns the status to answer.
    pub(crate) async fn run(self) -> StatusCode {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let scope = self.core.scope.clone();
        scope.spawn(async move {
            let key = self.core.ledger.placement_arrived(self.order.record());
            let status = self.carry_out().await;
            self.core.ledger.placement_ended(key, status.as_u16());
            // The sender of the order may have gone.
            let _ = sender.send(status);
        });
        receiver.await.unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
    }

    async fn carry_out(&self) -> StatusCode {
        if !self.admit_fencing() {
            return StatusCode::CONFLICT;
        }
        match self.order.kind {
            ledger::PlacementKind::LoadModel | ledger::PlacementKind::LoadAdapter => {
                self.load().await
            }
            ledger::PlacementKind::UnloadModel | ledger::PlacementKind::UnloadAdapter => {
                self.unload(self.order.name()).await
            }
        }
    }

    /// Tells whether the order may run; an engine that does not check lets all pass.
    fn admit_fencing(&self) -> bool {
        let Some(fencing) = self.order.fencing else {
            return true;
        };
        let admitted = self.core.models.lock().admit_fencing(fencing);
        admitted || !self.core.settings.checks_fencing
    }

    async fn load(&self) -> StatusCode {
        loop {
            match self.begin_load() {
                Entry::Ready => return StatusCode::OK,
                Entry::Busy => tokio::time::sleep(TABLE_POLL).await,
                Entry::Refused(status) => return status,
                Entry::Begun => break,
            }
        }
        self.core.ledger.load_started();
        let fetched = self.fetch().await;
        self.core.ledger.load_ended();
        self.finish_load(fetched)
    }

    /// Takes memory for the load, unless the model is there or being moved.
    fn begin_load(&self) -> Entry {
        let order = &self.order;
        let mut table = self.core.models.lock();
        if let Some(held) = table.find(order.name(), &order.version) {
            if held.loaded.state == announce::ReplicaState::Ready {
                return Entry::Ready;
            }
            return Entry::Busy;
        }
        let mut version = order.version.clone();
        if order.adapter.is_some() {
            let Some(base) = table.find(&order.model, "") else {
                return Entry::Refused(StatusCode::NOT_FOUND);
            };
            if base.loaded.state != announce::ReplicaState::Ready {
                return Entry::Refused(StatusCode::NOT_FOUND);
            }
            version.clone_from(&base.loaded.version);
        }
        let beyond = table.bytes() + order.bytes > self.core.settings.memory_bytes;
        if beyond && self.core.settings.refuse_overcommit {
            return Entry::Refused(StatusCode::INSUFFICIENT_STORAGE);
        }
        table.insert(announce::LoadedModel {
            model: order.model.clone(),
            version,
            adapter: order.adapter.clone(),
            bytes: order.bytes,
            order: order.order,
            state: announce::ReplicaState::Loading,
        });
        self.core.record_held(&table, order.name());
        Entry::Begun
    }

    /// Brings the weights; tells whether they came.
    async fn fetch(&self) -> bool {
        if self.core.controls.take_crash() {
            // Half of a load passes before the crash.
            tokio::time::sleep(self.local_time() / 2).await;
            self.core.crash();
            std::future::pending::<()>().await;
        }
        if self.order.adapter.is_some() {
            return self.fetch_adapter().await;
        }
        let tier = self
            .core
            .models
            .lock()
            .nearest_tier(&self.order.model, &self.order.version);
        if let (Some(store), None) = (&self.core.store, tier) {
            return store.fetch_model(self.order.bytes).await;
        }
        tokio::time::sleep(self.local_time()).await;
        true
    }

    async fn fetch_adapter(&self) -> bool {
        if let Some(store) = &self.core.store {
            return store.fetch_adapter(self.order.bytes).await;
        }
        let adapter_ms = self.core.settings.timings.adapter_ms;
        tokio::time::sleep(time::Duration::from_millis(adapter_ms)).await;
        true
    }

    /// Returns the load time without the weight store.
    fn local_time(&self) -> time::Duration {
        let timings = &self.core.settings.timings;
        let tier = self
            .core
            .models
            .lock()
            .nearest_tier(&self.order.model, &self.order.version);
        let rate = match tier {
            Some(announce::CacheTier::Memory) => timings.memory_bytes_per_second,
            Some(announce::CacheTier::Disk) => timings.disk_bytes_per_second,
            None => timings.remote_bytes_per_second,
        };
        let micros = u128::from(self.order.bytes) * 1_000_000 / u128::from(rate.max(1));
        time::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Makes the model ready, or frees its memory when its weights did not come.
    fn finish_load(&self, fetched: bool) -> StatusCode {
        let order = &self.order;
        let mut table = self.core.models.lock();
        if !fetched {
            table.remove(order.name(), &order.version);
            self.core.record_held(&table, order.name());
            return StatusCode::BAD_GATEWAY;
        }
        if let Some(held) = table.find(order.name(), &order.version) {
            held.loaded.state = announce::ReplicaState::Ready;
        }
        if order.adapter.is_none() {
            table.cache_on_disk(&order.model, &order.version);
            table.cache_in_memory(&order.model, &order.version);
        }
        StatusCode::OK
    }

    /// Unloads an entry and the adapters on it; one that is not there is unloaded already.
    async fn unload(&self, name: &str) -> StatusCode {
        while !self.begin_unload(name) {
            tokio::time::sleep(TABLE_POLL).await;
        }
        let adapters = self.core.models.lock().adapters_on(name);
        let drain = time::Duration::from_millis(self.core.settings.timings.drain_ms);
        let deadline = time::Instant::now() + drain;
        while self.core.models.lock().requests_on(name) > 0 && time::Instant::now() < deadline {
            tokio::time::sleep(TABLE_POLL).await;
        }
        let unload_ms = self.core.settings.timings.unload_ms;
        tokio::time::sleep(time::Duration::from_millis(unload_ms)).await;
        for gone in adapters.iter().map(String::as_str).chain([name]) {
            self.core.clear_prefixes(gone);
            let mut table = self.core.models.lock();
            table.remove(gone, &self.version_of(gone));
            self.core.record_held(&table, gone);
        }
        StatusCode::OK
    }

    /// Returns the version that the order means for `name`; adapters go whatever theirs is.
    fn version_of(&self, name: &str) -> String {
        if name == self.order.name() {
            self.order.version.clone()
        } else {
            String::new()
        }
    }

    /// Marks an entry and its adapters as unloading; tells whether no load has to be waited for.
    fn begin_unload(&self, name: &str) -> bool {
        let mut table = self.core.models.lock();
        for adapter in table.adapters_on(name) {
            if let Some(held) = table.find(&adapter, "") {
                held.loaded.state = announce::ReplicaState::Unloading;
            }
        }
        let Some(held) = table.find(name, &self.order.version) else {
            return true;
        };
        if held.loaded.state == announce::ReplicaState::Loading {
            return false;
        }
        held.loaded.state = announce::ReplicaState::Unloading;
        true
    }
}
