//! The copy of the leader's roster at an entry instance.

use std::collections;

use crate::fleet;
use crate::name;

/// The backend servers as an entry instance knows them from updates of the leader's roster.
///
/// A server that drains or left stays so until it restarts, whatever the records of a later leader
/// say, since these may stem from notices that were delayed on their way.
#[derive(Debug, Default)]
pub struct RosterView {
    cursor: fleet::RosterCursor,
    records: collections::BTreeMap<name::ServerName, fleet::ServerRecord>,
    departures: fleet::DepartureTable,
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
        let mut gone: collections::BTreeSet<_> = update.gone.into_iter().collect();
        let mut changed = Vec::new();
        for mut departure in update.departures {
            if departure.stage == fleet::DepartureStage::Left
                && gone.contains(&departure.name)
                && let Some(record) = self.records.get(&departure.name)
            {
                // A leader without a notice of the server only knows that its latest start is gone.
                departure.started_ms = departure.started_ms.max(record.started_ms);
            }
            self.depart(departure, &mut changed);
        }
        if update.whole && update.cursor.settled {
            let named: collections::BTreeSet<_> =
                update.records.iter().map(|change| &change.name).collect();
            let absent = self.records.keys().filter(|name| !named.contains(name));
            gone.extend(absent.cloned());
        }
        for name in &gone {
            self.records.remove(name);
        }
        changed.extend(gone);
        let mut complete = true;
        for change in update.records {
            let known = self.records.get(&change.name);
            let Some(record) = change.into_record(known) else {
                complete = false;
                continue;
            };
            self.insert_record(record, &mut changed);
        }
        self.cursor = update.cursor;
        if !complete {
            // A change left out parts that the view does not have: request a whole update next.
            self.cursor.version = 0;
        }
        changed
    }

    /// Closes a server that announced in an answer that it leaves; returns whether that is new.
    ///
    /// Like any departure, it holds until the server's next start, whatever later updates say.
    pub fn close(&mut self, departure: fleet::ServerDeparture) -> bool {
        let mut changed = Vec::new();
        self.depart(departure, &mut changed);
        !changed.is_empty()
    }

    /// Closes or removes the server of a departure that is new to the view.
    fn depart(&mut self, departure: fleet::ServerDeparture, changed: &mut Vec<name::ServerName>) {
        if !self.departures.record(departure.clone()) {
            return;
        }
        let record = self.records.get_mut(&departure.name);
        let Some(record) = record.filter(|record| departure.covers(record.started_ms)) else {
            return;
        };
        match departure.stage {
            fleet::DepartureStage::Draining => record.stage = fleet::ServerStage::Draining,
            fleet::DepartureStage::Left => {
                self.records.remove(&departure.name);
            }
        }
        changed.push(departure.name);
    }

    /// Stores a record unless its start is gone or a later start is known.
    fn insert_record(
        &mut self,
        mut record: fleet::ServerRecord,
        changed: &mut Vec<name::ServerName>,
    ) {
        let departure = self.departures.get(&record.name);
        if departure.is_some_and(|departure| departure.ends(record.started_ms)) {
            return;
        }
        if departure.is_some_and(|departure| departure.covers(record.started_ms)) {
            record.stage = fleet::ServerStage::Draining;
        }
        self.remove_earlier_at(&record, changed);
        if self.is_outdated(&record) {
            return;
        }
        if let Some(draining) = record.departure() {
            self.departures.record(draining);
        }
        changed.push(record.name.clone());
        self.records.insert(record.name.clone(), record);
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
