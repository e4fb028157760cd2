//! Caches the active configuration with the time of its last confirmation by a quorum.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::crash;
use galenahold_wire::message;
use tokio::sync::watch;

use crate::configuration;
use crate::timer;

/// The active configuration of this instance, with the time at which a quorum last confirmed it.
#[derive(Debug, Clone)]
pub(crate) struct ConfigurationCache {
    index: sync::Arc<arc_swap::ArcSwap<control::ConfigurationIndex>>,
    drains: sync::Arc<arc_swap::ArcSwap<message::DrainList>>,
    suspects: sync::Arc<watch::Sender<sync::Arc<crash::SuspectList>>>,
    state: sync::Arc<sync::Mutex<CacheState>>,
    revision: sync::Arc<watch::Sender<u64>>,
    confirmations: sync::Arc<watch::Sender<()>>,
    bound: time::Duration,
}

#[derive(Debug, Default)]
struct CacheState {
    view: sync::Arc<control::ConfigurationView>,
    history: Vec<control::ConfigurationChange>,
    confirmed_at: Option<timer::BootInstant>,
}

/// An update of the configuration received from another instance.
#[derive(Debug)]
pub(crate) struct ConfirmedUpdate {
    /// The latest time, by this instance's clock, at which a quorum is certain to have confirmed the revision.
    pub(crate) confirmed_at: timer::BootInstant,
    /// The confirmed revision.
    pub(crate) revision: amount::RevisionNumber,
    /// The changes, or a snapshot of the whole configuration.
    pub(crate) update: message::ConfigurationUpdate,
    /// The drain list, if it has changed.
    pub(crate) drains: Option<message::DrainList>,
    /// The parts of prompts that crash backend servers, if the list has changed.
    pub(crate) suspects: Option<crash::SuspectList>,
}

/// The part of the configuration that a follower lacks, and the revision that results from it.
#[derive(Debug)]
pub(crate) struct ConfigurationDelta {
    /// The revision after the update.
    pub(crate) revision: amount::RevisionNumber,
    /// The changes, or a snapshot of the whole configuration.
    pub(crate) update: message::ConfigurationUpdate,
}

/// The maximum number of changes kept for instances that follow the configuration of this one.
const MAX_HISTORY: usize = 512;

impl ConfigurationCache {
    /// Creates an empty cache whose configuration counts as fresh for `bound` after each confirmation.
    pub(crate) fn new(bound: time::Duration) -> Self {
        let index = control::ConfigurationIndex::default();
        Self {
            index: sync::Arc::new(arc_swap::ArcSwap::from_pointee(index)),
            drains: sync::Arc::new(arc_swap::ArcSwap::from_pointee(
                message::DrainList::default(),
            )),
            suspects: sync::Arc::default(),
            state: sync::Arc::default(),
            revision: sync::Arc::new(watch::Sender::new(0)),
            confirmations: sync::Arc::default(),
            bound,
        }
    }

    /// Returns the index of the active configuration.
    pub(crate) fn index(&self) -> sync::Arc<control::ConfigurationIndex> {
        self.index.load_full()
    }

    /// Returns the list of draining replicas, which accept no new requests.
    pub(crate) fn drains(&self) -> sync::Arc<message::DrainList> {
        self.drains.load_full()
    }

    /// Returns the parts of prompts that crash backend servers or may do so.
    pub(crate) fn suspects(&self) -> sync::Arc<crash::SuspectList> {
        sync::Arc::clone(&self.suspects.borrow())
    }

    /// Returns a receiver of the lists of suspects.
    pub(crate) fn subscribe_suspects(&self) -> watch::Receiver<sync::Arc<crash::SuspectList>> {
        self.suspects.subscribe()
    }

    /// Returns a receiver that is notified of each new revision.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns a receiver that is notified of each later confirmation.
    pub(crate) fn subscribe_confirmations(&self) -> watch::Receiver<()> {
        self.confirmations.subscribe()
    }

    /// Returns the time since a quorum last confirmed the configuration; `None` before the first confirmation.
    pub(crate) fn age(&self) -> Option<time::Duration> {
        self.lock().confirmed_at.map(timer::BootInstant::elapsed)
    }

    /// Returns whether the last confirmation is recent enough for the configuration to be used.
    pub(crate) fn is_fresh(&self) -> bool {
        self.age().is_some_and(|age| age <= self.bound)
    }

    /// Waits until a quorum has confirmed the configuration at `moment` or later.
    pub(crate) async fn wait_until_confirmed(&self, moment: timer::BootInstant) {
        let mut confirmations = self.subscribe_confirmations();
        while self.lock().confirmed_at < Some(moment) {
            if confirmations.changed().await.is_err() {
                // The sender lives as long as this cache.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns when the configuration becomes stale unless it is confirmed again.
    pub(crate) fn fresh_until(&self) -> Option<time::Instant> {
        let left = self.bound.checked_sub(self.age()?)?;
        Some(time::Instant::now() + left)
    }

    /// Applies an update.
    ///
    /// # Errors
    ///
    /// The update is older than the active configuration or leaves a gap; the published configuration is unchanged.
    pub(crate) fn apply(
        &self,
        confirmed: ConfirmedUpdate,
    ) -> Result<(), configuration::UpdateError> {
        let mut state = self.lock();
        let held = state.view.revision;
        if confirmed.revision < held {
            return Err(configuration::UpdateError::Lower {
                offered: confirmed.revision,
                held,
            });
        }
        state.apply(confirmed.update)?;
        if state.view.revision != confirmed.revision {
            return Err(configuration::UpdateError::Gap {
                held: state.view.revision,
            });
        }
        // Requests that the configuration lets in are checked against the list that came with it.
        if let Some(suspects) = confirmed.suspects {
            self.suspects.send_replace(sync::Arc::new(suspects));
        }
        let later = Some(confirmed.confirmed_at) > state.confirmed_at;
        state.confirmed_at = state.confirmed_at.max(Some(confirmed.confirmed_at));
        if state.view.revision != held {
            self.publish(&state);
        }
        drop(state);
        if let Some(drains) = confirmed.drains {
            self.drains.store(sync::Arc::new(drains));
        }
        if later {
            self.confirmations.send_replace(());
        }
        Ok(())
    }

    /// Returns the delta for an instance that has the revision `have`.
    pub(crate) fn delta_since(&self, have: amount::RevisionNumber) -> ConfigurationDelta {
        let state = self.lock();
        ConfigurationDelta {
            revision: state.view.revision,
            update: state.update_since(have),
        }
    }

    fn publish(&self, state: &CacheState) {
        let index = self.index.load().with_view(sync::Arc::clone(&state.view));
        self.index.store(sync::Arc::new(index));
        self.revision.send_replace(state.view.revision.0);
    }

    fn lock(&self) -> sync::MutexGuard<'_, CacheState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl CacheState {
    fn update_since(&self, have: amount::RevisionNumber) -> message::ConfigurationUpdate {
        if have >= self.view.revision {
            return message::ConfigurationUpdate::Nothing;
        }
        let follows = self
            .history
            .iter()
            .position(|change| change.revision() == have.next());
        match follows {
            Some(start) => message::ConfigurationUpdate::Changes(self.history[start..].to_vec()),
            None => message::ConfigurationUpdate::Snapshot(control::ConfigurationView::clone(
                &self.view,
            )),
        }
    }

    fn apply(
        &mut self,
        update: message::ConfigurationUpdate,
    ) -> Result<(), configuration::UpdateError> {
        match update {
            message::ConfigurationUpdate::Nothing => Ok(()),
            message::ConfigurationUpdate::Changes(changes) => changes
                .into_iter()
                .try_for_each(|change| self.apply_change(change)),
            message::ConfigurationUpdate::Snapshot(view) => self.replace(view),
        }
    }

    fn apply_change(
        &mut self,
        change: control::ConfigurationChange,
    ) -> Result<(), configuration::UpdateError> {
        // A change that is already active is received again after a lost reply.
        if change.revision() <= self.view.revision {
            return Ok(());
        }
        let held = self.view.revision;
        sync::Arc::make_mut(&mut self.view)
            .apply(&change)
            .map_err(|_| configuration::UpdateError::Gap { held })?;
        self.history.push(change);
        if self.history.len() > MAX_HISTORY {
            self.history.drain(..MAX_HISTORY / 2);
        }
        Ok(())
    }

    fn replace(
        &mut self,
        view: control::ConfigurationView,
    ) -> Result<(), configuration::UpdateError> {
        if view.revision < self.view.revision {
            return Err(configuration::UpdateError::Lower {
                offered: view.revision,
                held: self.view.revision,
            });
        }
        self.view = sync::Arc::new(view);
        self.history.clear();
        Ok(())
    }
}
