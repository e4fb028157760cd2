//! Tracks the other instances and their addresses.

use std::collections;
use std::net;
use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;

/// How long an instance is kept after its last contact, unless the settings name it.
const FORGET_AFTER: time::Duration = time::Duration::from_mins(2);

/// The directory of known instances: those named in the settings and those learned from messages.
#[derive(Debug, Clone)]
pub(crate) struct PeerDirectory {
    own: message::InstanceProfile,
    entries: sync::Arc<sync::Mutex<EntryTable>>,
}

type EntryTable = collections::BTreeMap<name::InstanceName, DirectoryEntry>;

#[derive(Debug)]
struct DirectoryEntry {
    card: message::InstanceProfile,
    /// The address in the settings, if they name the instance.
    configured: Option<net::SocketAddr>,
    last_contact: time::Instant,
}

impl PeerDirectory {
    /// Creates a directory of the instances named in the settings.
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

    /// Returns the profile of this instance.
    pub(crate) fn own(&self) -> &message::InstanceProfile {
        &self.own
    }

    /// Returns the profiles of the other instances.
    pub(crate) fn others(&self) -> Vec<message::InstanceProfile> {
        self.lock()
            .values()
            .map(|entry| entry.card.clone())
            .collect()
    }

    /// Returns the addresses at which to connect to an instance, in order of preference.
    ///
    /// The address in the settings comes before the one that the instance states itself, because the
    /// reachable address may differ by location. The stated address serves for an instance that has moved.
    pub(crate) fn addresses(&self, name: &name::InstanceName) -> Vec<net::SocketAddr> {
        let entries = self.lock();
        let Some(entry) = entries.get(name) else {
            // An instance without a configured name has its address as name.
            return name.parse().into_iter().collect();
        };
        let stated = Some(entry.card.address).filter(|stated| Some(*stated) != entry.configured);
        entry.configured.into_iter().chain(stated).collect()
    }

    /// Records a profile received from the instance itself.
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

    /// Adds profiles passed on by another instance; known instances stay unchanged.
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

    /// Removes instances that have been silent for long and are not named in the settings.
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
