//! The instances that this one knows of.

use std::collections;
use std::net;
use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;

/// How long an instance is remembered after it was last heard of, unless the settings name it.
const FORGET_AFTER: time::Duration = time::Duration::from_mins(2);

/// The instances that this one knows of: those that its settings name and those it has heard of.
#[derive(Debug, Clone)]
pub(crate) struct PeerDirectory {
    own: message::InstanceProfile,
    entries: sync::Arc<sync::Mutex<EntryTable>>,
}

type EntryTable = collections::BTreeMap<name::InstanceName, DirectoryEntry>;

#[derive(Debug)]
struct DirectoryEntry {
    card: message::InstanceProfile,
    /// The address in the settings, for instances that they name.
    configured: Option<net::SocketAddr>,
    last_contact: time::Instant,
}

impl PeerDirectory {
    /// Creates a directory of the instances that the settings name.
    pub(crate) fn new(
        own: message::InstanceProfile,
        configured: Vec<message::InstanceProfile>,
    ) -> Self {
        let now = time::Instant::now();
        let entries = configured
            .into_iter()
            .filter(|card| card.name != own.name)
            .map(|card| {
                let entry = DirectoryEntry {
                    configured: Some(card.address),
                    card: card.clone(),
                    last_contact: now,
                };
                (card.name, entry)
            })
            .collect();
        Self {
            own,
            entries: sync::Arc::new(sync::Mutex::new(entries)),
        }
    }

    /// Returns this instance's own card.
    pub(crate) fn own(&self) -> &message::InstanceProfile {
        &self.own
    }

    /// Returns the cards of the other instances.
    pub(crate) fn others(&self) -> Vec<message::InstanceProfile> {
        self.lock()
            .values()
            .map(|entry| entry.card.clone())
            .collect()
    }

    /// Returns the addresses to dial an instance at, in this order.
    ///
    /// The address in the settings goes before the one that the instance states itself: it may differ
    /// from place to place. The other serves an instance that has moved.
    pub(crate) fn addresses(&self, name: &name::InstanceName) -> Vec<net::SocketAddr> {
        let entries = self.lock();
        let Some(entry) = entries.get(name) else {
            // An instance without a configured name is named by its address.
            return name.parse().into_iter().collect();
        };
        let stated = Some(entry.card.address).filter(|stated| Some(*stated) != entry.configured);
        entry.configured.into_iter().chain(stated).collect()
    }

    /// Takes up a card that the instance itself sent.
    pub(crate) fn record_contact(&self, card: &message::InstanceProfile, now: time::Instant) {
        if card.name == self.own.name {
            return;
        }
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&card.name) else {
            let entry = DirectoryEntry {
                card: card.clone(),
                configured: None,
                last_contact: now,
            };
            entries.insert(card.name.clone(), entry);
            return;
        };
        if card.incarnation >= entry.card.incarnation {
            entry.card = card.clone();
            entry.last_contact = now;
        }
    }

    /// Takes up cards that another instance passed on; one that is known stays as it is.
    pub(crate) fn learn(&self, cards: &[message::InstanceProfile], now: time::Instant) {
        let mut entries = self.lock();
        for card in cards {
            if card.name == self.own.name || entries.contains_key(&card.name) {
                continue;
            }
            let entry = DirectoryEntry {
                card: card.clone(),
                configured: None,
                last_contact: now,
            };
            entries.insert(card.name.clone(), entry);
        }
    }

    /// Forgets instances that the settings do not name and that were silent for long.
    pub(crate) fn forget_silent(&self, now: time::Instant) {
        self.lock().retain(|_, entry| {
            entry.configured.is_some()
                || now.saturating_duration_since(entry.last_contact) < FORGET_AFTER
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, EntryTable> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
