//! The copy of the leader's roster at an entry instance.

use std::collections;

use crate::fleet;
use crate::name;

/// Maximum number of servers that a view remembers to have left.
const MAX_LEFT: usize = 1_024;

/// The backend servers as an entry instance knows them from updates of the leader's roster.
///
/// A new leader starts without a roster and may take the delayed notice of a server that told its
/// predecessor that it drains or leaves. A view that heard of it from the predecessor keeps the
/// server draining or removed until the server restarts.
#[derive(Debug, Default)]
pub struct RosterView {
    cursor: fleet::RosterCursor,
    records: collections::BTreeMap<name::ServerName, fleet::ServerRecord>,
    /// The last start of each server that left.
    left: collections::BTreeMap<name::ServerName, u64>,
}

impl RosterView {
    /// Returns how far the view has followed; a cursor with version zero requests a whole update.
    #[must_use]
    pub fn cursor(&self) -> fleet::RosterCursor {
        self.cursor
    }

    /// Returns whether the roster of the leader that the view follows has settled.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.cursor.settled
    }

    /// Returns the records of all servers.
    pub fn records(&self) -> impl Iterator<Item = &fleet::ServerRecord> {
        self.records.values()
    }

    /// Returns the record of the server with this name.
    #[must_use]
    pub fn get(&self, name: &name::ServerName) -> Option<&fleet::ServerRecord> {
        self.records.get(name)
    }

    /// Applies an update and returns the names of the servers that changed or are gone.
    ///
    /// A whole update of a leader whose roster has not settled removes no server for being absent
    /// from it.
    pub fn take(&mut self, update: fleet::RosterUpdate) -> Vec<name::ServerName> {
        let mut changed = Vec::new();
        if update.whole && update.cursor.settled {
            let named: collections::BTreeSet<_> =
                update.records.iter().map(|change| &change.name).collect();
            let gone = self.records.keys().filter(|name| !named.contains(name));
            changed.extend(gone.cloned());
        }
        for name in update.left {
            if let Some(record) = self.records.get(&name) {
                self.left.insert(name, record.started_ms);
            }
        }
        self.bound_left();
        changed.extend(update.gone);
        for name in &changed {
            self.records.remove(name);
        }
        let mut complete = true;
        for change in update.records {
            let known = self.records.get(&change.name);
            let drains = known.is_some_and(|known| {
                known.started_ms == change.started_ms && known.stage == fleet::ServerStage::Draining
            });
            let Some(mut record) = change.into_record(known) else {
                complete = false;
                continue;
            };
            if self.has_left(&record) {
                continue;
            }
            self.remove_earlier_at(&record, &mut changed);
            if self.is_outdated(&record) {
                continue;
            }
            if drains {
                record.stage = fleet::ServerStage::Draining;
            }
            self.left.remove(&record.name);
            changed.push(record.name.clone());
            self.records.insert(record.name.clone(), record);
        }
        self.cursor = update.cursor;
        if !complete {
            // A change left out parts that the view does not have: request a whole update next.
            self.cursor.version = 0;
        }
        changed
    }

    /// Returns whether this start of the server, or a later one, is known to have left.
    fn has_left(&self, record: &fleet::ServerRecord) -> bool {
        let left = self.left.get(&record.name);
        left.is_some_and(|started_ms| *started_ms >= record.started_ms)
    }

    /// Forgets the servers that started first while more left than a view remembers.
    fn bound_left(&mut self) {
        while self.left.len() > MAX_LEFT {
            let earliest = self.left.iter().min_by_key(|(_, started_ms)| **started_ms);
            let Some((name, _)) = earliest else { return };
            let name = name.clone();
            self.left.remove(&name);
        }
    }

    /// Returns whether the view has a later start of the same server.
    fn is_outdated(&self, record: &fleet::ServerRecord) -> bool {
        self.records
            .get(&record.name)
            .is_some_and(|known| known.started_ms > record.started_ms)
    }

    /// Removes servers with the record's address that started earlier, because the address now
    /// belongs to the record's server.
    fn remove_earlier_at(
        &mut self,
        record: &fleet::ServerRecord,
        changed: &mut Vec<name::ServerName>,
    ) {
        let earlier: Vec<_> = self
            .records
            .values()
            .filter(|known| {
                known.address == record.address
                    && known.name != record.name
                    && known.started_ms <= record.started_ms
            })
            .map(|known| known.name.clone())
            .collect();
        for name in earlier {
            self.records.remove(&name);
            changed.push(name);
        }
    }
}
