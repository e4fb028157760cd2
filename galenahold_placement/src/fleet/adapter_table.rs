//! Adapter slots of one engine.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;

/// How long an unanswered order may still be executed.
pub(super) const LATE_ORDER_TIME: time::Duration = time::Duration::from_secs(13);

/// How long after its last use an adapter is not unloaded for another one.
const USE_GRACE: time::Duration = time::Duration::from_millis(500);

/// How long after its last request an adapter counts as in use. An adapter of a popular model is
/// requested several times in this time; the set of popular models changes every 10 s.
const USE_SPAN: time::Duration = time::Duration::from_secs(4);

/// How long an adapter may be missing from an engine's notices, which lag, before it counts as
/// unloaded.
const NOTICE_LAG: time::Duration = time::Duration::from_secs(3);

/// The adapters that an engine holds or may hold. Each of them occupies a slot.
#[derive(Debug, Default)]
pub(super) struct AdapterTable {
    held: collections::HashMap<domain::HeldAdapter, AdapterEntry>,
}

#[derive(Debug)]
struct AdapterEntry {
    state: AdapterState,
    used_at: time::Instant,
    /// When a request last used the adapter; `None` for one that was loaded in advance.
    requested_at: Option<time::Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdapterState {
    /// The adapter is loaded, or is expected to be at the given time.
    Held { from: time::Instant },
    /// An order for the adapter was not answered. Until the given time the adapter may or may not
    /// be loaded.
    Unconfirmed { until: time::Instant },
    /// The adapter is to be unloaded. It occupies its slot until the engine confirms the unload.
    Unloading,
}

impl AdapterEntry {
    fn is_in_use(&self, now: time::Instant) -> bool {
        let requested_at = self.requested_at;
        requested_at.is_some_and(|at| now.saturating_duration_since(at) < USE_SPAN)
    }
}

impl AdapterTable {
    /// Applies the list of adapters in a notice of the engine.
    pub(super) fn apply_notice(&mut self, held: &[domain::HeldAdapter], now: time::Instant) {
        for adapter in held {
            let entry = self
                .held
                .entry(adapter.clone())
                .or_insert_with(|| AdapterEntry {
                    state: AdapterState::Held { from: now },
                    used_at: now,
                    requested_at: None,
                });
            if matches!(entry.state, AdapterState::Unconfirmed { .. }) {
                entry.state = AdapterState::Held { from: now };
            }
        }
        self.held.retain(|adapter, entry| match entry.state {
            AdapterState::Held { from } => {
                held.contains(adapter)
                    || now < from + NOTICE_LAG
                    || now < entry.used_at + NOTICE_LAG
            }
            AdapterState::Unconfirmed { until } => now < until,
            AdapterState::Unloading => true,
        });
    }

    /// Returns the adapters that are or may be loaded.
    pub(super) fn known(&self) -> impl Iterator<Item = &domain::HeldAdapter> {
        self.held.keys()
    }

    /// Returns the number of slots that are or may be occupied.
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether the adapter is or may be loaded.
    pub(super) fn knows(&self, adapter: &domain::HeldAdapter) -> bool {
        self.held.contains_key(adapter)
    }

    /// Iterates over the adapters that are or may be loaded, with whether requests use them.
    pub(super) fn uses(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&domain::HeldAdapter, bool)> {
        let held = self.held.iter();
        held.map(move |(adapter, entry)| (adapter, entry.is_in_use(now)))
    }

    /// Returns whether requests use any of the adapters.
    pub(super) fn are_in_use(&self, now: time::Instant) -> bool {
        let mut entries = self.held.values();
        entries.any(|entry| entry.is_in_use(now))
    }

    /// Returns the number of occupied slots without those of adapters that are being unloaded.
    pub(super) fn retained(&self) -> usize {
        let entries = self.held.values();
        entries
            .filter(|entry| entry.state != AdapterState::Unloading)
            .count()
    }

    /// Marks the adapter as being unloaded.
    pub(super) fn mark_unloading(&mut self, adapter: &domain::HeldAdapter) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.state = AdapterState::Unloading;
        }
    }

    /// Returns whether the adapter is being unloaded.
    pub(super) fn is_unloading(&self, adapter: &domain::HeldAdapter) -> bool {
        let entry = self.held.get(adapter);
        entry.is_some_and(|entry| entry.state == AdapterState::Unloading)
    }

    /// Returns the expected time until the adapter is loaded; `None` if it is neither loaded nor
    /// being loaded.
    pub(super) fn ready_in(
        &self,
        adapter: &domain::HeldAdapter,
        now: time::Instant,
    ) -> Option<time::Duration> {
        match self.held.get(adapter)?.state {
            AdapterState::Held { from } => Some(from.saturating_duration_since(now)),
            AdapterState::Unconfirmed { .. } | AdapterState::Unloading => None,
        }
    }

    /// Records a use of the adapter.
    pub(super) fn touch(&mut self, adapter: &domain::HeldAdapter, now: time::Instant) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.used_at = now;
            entry.requested_at = Some(now);
        }
    }

    /// Reserves a slot for an adapter whose load is ordered now.
    pub(super) fn reserve(
        &mut self,
        adapter: domain::HeldAdapter,
        ready_in: time::Duration,
        now: time::Instant,
    ) {
        let entry = AdapterEntry {
            state: AdapterState::Held {
                from: now + ready_in,
            },
            used_at: now,
            requested_at: None,
        };
        self.held.insert(adapter, entry);
    }

    /// Records that an order for the adapter was not answered.
    pub(super) fn mark_unconfirmed(&mut self, adapter: &domain::HeldAdapter, now: time::Instant) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.state = AdapterState::Unconfirmed {
                until: now + LATE_ORDER_TIME,
            };
        }
    }

    /// Frees the slot of an adapter that is not loaded.
    pub(super) fn free(&mut self, adapter: &domain::HeldAdapter) {
        self.held.remove(adapter);
    }

    /// Frees the slots of all adapters of an unloaded model.
    pub(super) fn free_model(&mut self, model: &galenahold_domain::name::ModelName) {
        self.held.retain(|adapter, _| adapter.model != *model);
    }

    /// Returns the least recently used adapter that may be unloaded.
    pub(super) fn victim(&self, now: time::Instant) -> Option<domain::HeldAdapter> {
        self.held
            .iter()
            .filter(|(_, entry)| match entry.state {
                AdapterState::Held { from } => {
                    now >= from && now.saturating_duration_since(entry.used_at) >= USE_GRACE
                }
                AdapterState::Unconfirmed { .. } | AdapterState::Unloading => false,
            })
            .min_by_key(|(_, entry)| entry.used_at)
            .map(|(adapter, _)| adapter.clone())
    }
}
