//! Backend servers that asked for a pause.

use std::collections;
use std::time;

use galenahold_domain::name;

/// The backend servers that turned a request away and stated for how long they want no other.
///
/// A closure holds for one start of a server, whatever a roster says of it meanwhile.
#[derive(Debug, Default)]
pub struct ServerClosures {
    closures: collections::HashMap<name::ServerName, ServerClosure>,
}

#[derive(Debug, Clone, Copy)]
struct ServerClosure {
    started_ms: u64,
    until: time::Instant,
}

impl ServerClosures {
    /// The maximum time for which one statement closes a server.
    pub const MAX_TIME: time::Duration = time::Duration::from_hours(1);

    /// Closes a start of a server for the time that it stated. A later statement may extend the time but
    /// not shorten it.
    pub fn close(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        stated: time::Duration,
        now: time::Instant,
    ) {
        self.closures.retain(|_, closure| closure.until > now);
        let closure = ServerClosure {
            started_ms,
            until: now + stated.min(Self::MAX_TIME),
        };
        let known = self.closures.get(server);
        let is_extended = known.is_none_or(|known| {
            (known.started_ms, known.until) < (closure.started_ms, closure.until)
        });
        if is_extended {
            self.closures.insert(server.clone(), closure);
        }
    }

    /// Returns how much longer a start of a server is closed; `None` if it is open.
    #[must_use]
    pub fn opens_in(
        &self,
        server: &name::ServerName,
        started_ms: u64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let closure = self.closures.get(server)?;
        let is_closed = closure.started_ms == started_ms && now < closure.until;
        is_closed.then(|| closure.until - now)
    }
}
