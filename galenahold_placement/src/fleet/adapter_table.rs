//! The adapters of an engine.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;

/// How long an unanswered order may still be carried out.
pub(super) const LATE_ORDER_TIME: time::Duration = time::Duration::from_secs(13);

/// How long an adapter that was just used is not unloaded for another.
const USE_GRACE: time::Duration = time::Duration::from_millis(500);

/// How long an adapter may be missing from an engine's notices, which lag, before it counts as gone.
const NOTICE_LAG: time::Duration = time::Duration::from_secs(3);

/// The adapters of an engine: each that may be there takes a place.
#[derive(Debug, Default)]
pub(super) struct AdapterTable {
    held: collections::HashMap<domain::HeldAdapter, AdapterEntry>,
}

#[derive(Debug)]
struct AdapterEntry {
    state: AdapterState,
    used_at: time::Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdapterState {
    /// It is there, or will be from then on.
    Held { from: time::Instant },
    /// An order about it was not answered: it may be there or not until then.
    Unconfirmed { until: time::Instant },
    /// It is about to be unloaded and keeps its place until the engine says that it is gone.
    Unloading,
}

impl AdapterTable {
    /// Takes up what a notice of the engine says.
    pub(super) fn apply_notice(&mut self, held: &[domain::HeldAdapter], now: time::Instant) {
        for adapter in held {
            let entry = self
                .held
                .entry(adapter.clone())
                .or_insert_with(|| AdapterEntry {
                    state: AdapterState::Held { from: now },
                    used_at: now,
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

    /// Returns the adapters that are, or may be, there.
    pub(super) fn known(&self) -> impl Iterator<Item = &domain::HeldAdapter> {
        self.held.keys()
    }

    /// Counts the places that are, or may be, taken.
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Counts the places that are taken and not about to be free.
    pub(super) fn retained(&self) -> usize {
        let entries = self.held.values();
        entries
            .filter(|entry| entry.state != AdapterState::Unloading)
            .count()
    }

    /// Notes that the adapter is about to be unloaded.
    pub(super) fn mark_unloading(&mut self, adapter: &domain::HeldAdapter) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.state = AdapterState::Unloading;
        }
    }

    /// Returns whether the adapter is about to be unloaded.
    pub(super) fn is_unloading(&self, adapter: &domain::HeldAdapter) -> bool {
        let entry = self.held.get(adapter);
        entry.is_some_and(|entry| entry.state == AdapterState::Unloading)
    }

    /// Returns whether the adapter is there, comes, or may be there.
    pub(super) fn may_hold(&self, adapter: &domain::HeldAdapter) -> bool {
        self.held.contains_key(adapter)
    }

    /// Returns how long it takes until the adapter is there, if it is or comes.
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

    /// Notes that the adapter is used.
    pub(super) fn touch(&mut self, adapter: &domain::HeldAdapter, now: time::Instant) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.used_at = now;
        }
    }

    /// Takes a place for an adapter that is ordered now.
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
        };
        self.held.insert(adapter, entry);
    }

    /// Notes that an order about the adapter was not answered.
    pub(super) fn mark_unconfirmed(&mut self, adapter: &domain::HeldAdapter, now: time::Instant) {
        if let Some(entry) = self.held.get_mut(adapter) {
            entry.state = AdapterState::Unconfirmed {
                until: now + LATE_ORDER_TIME,
            };
        }
    }

    /// Frees the place of an adapter that is not there.
    pub(super) fn free(&mut self, adapter: &domain::HeldAdapter) {
        self.held.remove(adapter);
    }

    /// Frees the places of all adapters of a model that was unloaded.
    pub(super) fn free_model(&mut self, model: &galenahold_domain::name::ModelName) {
        self.held.retain(|adapter, _| adapter.model != *model);
    }

    /// Finds the adapter that was unused for longest, if any may be unloaded.
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
