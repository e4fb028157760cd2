//! The state of an engine stand-in.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use super::cache_publisher::StampedEvent;
use super::model_table::ModelTable;
use super::prefix_cache::PrefixCache;
use super::sequence::Sequence;
use super::sequence_queue::SequenceQueue;
use super::{AnswerText, EngineSettings};
use crate::announce;
use crate::control;
use crate::host;
use crate::ledger;
use crate::state_lock;
use crate::store;

/// Everything that faces and tasks of one incarnation share.
#[derive(Debug)]
pub(crate) struct EngineCore {
    /// Size, speed and manners.
    pub(crate) settings: EngineSettings,
    /// Where requests and orders come in.
    pub(crate) address: net::SocketAddr,
    /// Changes at every start.
    pub(crate) incarnation: u64,
    /// What happened.
    pub(crate) ledger: sync::Arc<ledger::ServerLedger>,
    /// How to misbehave.
    pub(crate) controls: sync::Arc<control::ControlSwitches>,
    /// What is in memory.
    pub(crate) models: state_lock::StateLock<ModelTable>,
    /// What waits and runs.
    pub(crate) batch: SequenceQueue,
    /// Where checkpoints come from.
    pub(crate) store: Option<store::StoreTarget>,
    /// The tasks of this incarnation.
    pub(crate) scope: host::TaskScope,
    /// Cached prompt prefixes.
    pub(crate) prefixes: state_lock::StateLock<PrefixCache>,
    /// The way to the publisher of cache events.
    pub(crate) cache_events: mpsc::UnboundedSender<StampedEvent>,
    /// The number of the last cache event.
    pub(crate) cache_sequence: atomic::AtomicU64,
}

impl EngineCore {
    /// Looks the prompt up in the prefix cache and returns its prefill time.
    pub(crate) fn prefill_time(&self, sequence: &Sequence) -> time::Duration {
        let change = self
            .prefixes
            .lock()
            .admit(&sequence.model, &sequence.prompt);
        for removed in change.removed {
            self.publish_cache(&removed.model, &[], &[removed.hash], false);
        }
        if !change.stored.is_empty() {
            self.publish_cache(&sequence.model, &change.stored, &[], false);
        }
        let cached_tokens = AnswerText::whole_tokens(change.cached_bytes);
        self.ledger
            .amend(sequence.key, |record| record.cached_tokens = cached_tokens);
        self.settings
            .timings
            .prefill(sequence.prompt_tokens, cached_tokens)
    }

    /// Drops the cached prefixes of a model that is gone.
    pub(crate) fn clear_prefixes(&self, model: &str) {
        if self.prefixes.lock().clear(model) {
            self.publish_cache(model, &[], &[], true);
        }
    }

    /// Records what is held under `name` now.
    pub(crate) fn record_held(&self, table: &ModelTable, name: &str) {
        self.ledger.held(ledger::ReplicaEvent {
            at_us: ledger::unix_micros(),
            model: name.to_owned(),
            held: table.copies(name),
            model_bytes: table.bytes_of(name),
            memory_bytes: table.bytes(),
        });
    }

    /// Ends this incarnation at once.
    pub(crate) fn crash(&self) {
        log::warn!("engine {} crashes on purpose", self.settings.announce.name);
        self.scope.cancel();
    }

    /// Hands a cache event to the publisher, or loses it.
    fn publish_cache(&self, model: &str, stored: &[u64], removed: &[u64], cleared: bool) {
        let number = self.cache_sequence.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let loss = self.settings.cache_event_loss;
        let is_gap = loss > 0 && number.is_multiple_of(loss);
        if is_gap || self.controls.take_dropped_cache_event() {
            return;
        }
        let event = announce::CacheEvent {
            name: self.settings.announce.name.clone(),
            incarnation: self.incarnation,
            sequence: number,
            model: model.to_owned(),
            stored: hexadecimal(stored),
            removed: hexadecimal(removed),
            cleared,
        };
        // The publisher is gone only when the engine ends.
        let _ = self.cache_events.send(StampedEvent {
            at: time::Instant::now(),
            event,
        });
    }
}

impl announce::AnnouncedState for EngineCore {
    fn announcement(&self) -> Option<announce::Announcement> {
        if self.controls.is_silent() {
            return None;
        }
        let models = self.models.lock();
        Some(announce::Announcement {
            name: self.settings.announce.name.clone(),
            incarnation: self.incarnation,
            sequence: 0,
            address: self.address,
            data_centre: self.settings.announce.data_centre.clone(),
            kind: announce::ServerKind::Engine,
            service: None,
            checks_fencing: self.settings.checks_fencing,
            memory_bytes: self.settings.memory_bytes,
            loaded: models.loaded(),
            cached: models.cached(),
            load: self.batch.load(),
            leaving: self.controls.is_leaving(),
        })
    }
}

/// Formats block hashes as 16 digits each.
fn hexadecimal(hashes: &[u64]) -> Vec<String> {
    hashes.iter().map(|hash| format!("{hash:016x}")).collect()
}
