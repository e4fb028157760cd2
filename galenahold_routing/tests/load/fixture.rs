//! A leader's table and uses of servers.

use std::time;

use galenahold_domain::name;
use galenahold_routing::load;

/// The start of all servers that have not restarted.
pub(crate) const STARTED_MS: u64 = 1_796_364_491_313;

pub(crate) fn used(server: &str, running: u32) -> load::ServerUse {
    load::ServerUse {
        server: server.into(),
        started_ms: STARTED_MS,
        running,
        unread_tokens: running * 512,
        cache_tokens: running * 2_048,
        paces: Vec::new(),
    }
}

pub(crate) fn sample(model: &str, event_us: u32) -> load::PaceSample {
    load::PaceSample {
        model: model.into(),
        event_us,
        events: 9,
    }
}

/// A table whose clock is set by hand.
pub(crate) struct TableClock {
    pub(crate) table: load::FleetLoadTable,
    pub(crate) now: time::Instant,
}

impl TableClock {
    /// Returns a table that has collected reports for long enough to send loads.
    pub(crate) fn collected(term: u64) -> Self {
        let now = time::Instant::now();
        let mut clock = Self {
            table: load::FleetLoadTable::new(term, now),
            now,
        };
        clock.pass(1_000);
        clock
    }

    pub(crate) fn pass(&mut self, span_ms: u64) {
        self.now += time::Duration::from_millis(span_ms);
    }

    pub(crate) fn record(&mut self, instance: &str, uses: &[load::ServerUse]) {
        let instance = name::InstanceName::from(instance);
        self.table.record(&instance, uses, self.now);
    }

    /// Sums up and returns the update for a follower, if one is due.
    pub(crate) fn update(&mut self, have: load::LoadVersion) -> Option<load::LoadUpdate> {
        self.table.sum_up(|_| true, self.now);
        self.table.update_since(have, false, self.now)
    }

    /// Brings a view up to date; returns whether there was an update that fits it.
    pub(crate) fn refresh(&mut self, view: &mut load::LoadView) -> bool {
        let update = self.update(view.version());
        update.is_some_and(|update| view.apply(&update, self.now))
    }
}

/// Returns the load of a server in a view.
pub(crate) fn load_of(view: &load::LoadView, server: &str) -> Option<load::ServerLoad> {
    let server = name::ServerName::from(server);
    view.loads().find(|load| load.server == server)
}

/// Returns the calls of others at a server in a view.
pub(crate) fn running(view: &load::LoadView, server: &str) -> Option<u32> {
    load_of(view, server).map(|load| load.running)
}
