//! What an entry instance knows of the backend servers.

use std::collections;

use crate::fleet;
use crate::name;

/// What an entry instance knows of the backend servers: it follows the leader's roster by updates.
#[derive(Debug, Default)]
pub struct RosterView {
    mark: fleet::RosterCursor,
    records: collections::BTreeMap<name::ServerName, fleet::ServerRecord>,
}

impl RosterView {
    /// Returns how far the view has followed; a mark of version zero asks for a whole update.
    #[must_use]
    pub fn mark(&self) -> fleet::RosterCursor {
        self.mark
    }

    /// Returns whether the view follows a leader that has heard from all servers.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.mark.settled
    }

    /// Returns the servers.
    pub fn records(&self) -> impl Iterator<Item = &fleet::ServerRecord> {
        self.records.values()
    }

    /// Returns the server.
    #[must_use]
    pub fn get(&self, name: &name::ServerName) -> Option<&fleet::ServerRecord> {
        self.records.get(name)
    }

    /// Takes an update; returns the names of the servers that changed or went.
    ///
    /// A whole update of a leader that has not yet heard from all servers only adds to the view.
    pub fn take(&mut self, update: fleet::RosterUpdate) -> Vec<name::ServerName> {
        let mut changed = Vec::new();
        if update.whole && update.mark.settled {
            let named: collections::BTreeSet<_> =
                update.records.iter().map(|change| &change.name).collect();
            let gone = self.records.keys().filter(|name| !named.contains(name));
            changed.extend(gone.cloned());
        }
        changed.extend(update.gone);
        for name in &changed {
            self.records.remove(name);
        }
        let mut complete = true;
        for change in update.records {
            let known = self.records.get(&change.name);
            let Some(record) = change.into_record(known) else {
                complete = false;
                continue;
            };
            self.remove_earlier_at(&record, &mut changed);
            if self.is_outdated(&record) {
                continue;
            }
            changed.push(record.name.clone());
            self.records.insert(record.name.clone(), record);
        }
        self.mark = update.mark;
        if !complete {
            // What the change left out is not known here: the next update has to be a whole one.
            self.mark.version = 0;
        }
        changed
    }

    /// Returns whether a later start of the same server is known.
    fn is_outdated(&self, record: &fleet::ServerRecord) -> bool {
        self.records
            .get(&record.name)
            .is_some_and(|known| known.started_ms > record.started_ms)
    }

    /// Drops earlier servers at the address of a record, which is theirs no longer.
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
