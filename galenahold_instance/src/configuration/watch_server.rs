//! Passes the configuration on to instances that take it from this one.

use std::time;

use galenahold_domain::name;
use galenahold_wire::message;

use crate::configuration;

/// By how much a confirmation has to be later than the one known to be news.
const MIN_CONFIRMATION_GAP: time::Duration = time::Duration::from_millis(50);

/// Passes the configuration on, with an age that includes this instance's own.
#[derive(Debug, Clone)]
pub(crate) struct WatchServer {
    cache: configuration::ConfigurationCache,
}

impl WatchServer {
    /// Creates a server over the configuration in force here.
    pub(crate) fn new(cache: configuration::ConfigurationCache) -> Self {
        Self { cache }
    }

    /// Waits until there is news for the request, or its hold time is over.
    ///
    /// Who leads is asked for at the end and goes with the answer, so that the one who waits can turn to it.
    pub(crate) async fn watch(
        &self,
        request: message::WatchRequest,
        leader: impl Fn() -> Option<name::InstanceName>,
    ) -> message::WatchReply {
        let started = time::Instant::now();
        let hold = time::Duration::from_millis(request.hold_ms);
        if self.is_ahead_of(&request) {
            return self.reply(&request, started, leader());
        }
        let mut revisions = self.cache.subscribe();
        let mut confirmations = self.cache.subscribe_confirmations();
        confirmations.mark_unchanged();
        // The senders live as long as the holder.
        tokio::select! {
            _ = revisions.wait_for(|revision| *revision > request.have.0) => {}
            // Passed on at once, so that ages do not add up from relay to relay.
            _ = confirmations.changed() => {}
            () = tokio::time::sleep(hold) => {}
        }
        self.reply(&request, started, leader())
    }

    /// Returns whether this instance has a later confirmation than the one who waits.
    fn is_ahead_of(&self, request: &message::WatchRequest) -> bool {
        let Some(age) = self.cache.age() else {
            return false;
        };
        let known = request.age_ms.map(time::Duration::from_millis);
        known.is_none_or(|known| age + MIN_CONFIRMATION_GAP < known)
    }

    fn reply(
        &self,
        request: &message::WatchRequest,
        started: time::Instant,
        leader: Option<name::InstanceName>,
    ) -> message::WatchReply {
        // The age is taken first: what is read after it is at least as new as it says.
        let held = started.elapsed();
        let Some(age) = self.cache.age().filter(|_| self.cache.is_fresh()) else {
            return message::WatchReply::Unavailable { leader };
        };
        let news = self.cache.delta_since(request.have);
        let drains = self.cache.drains();
        message::WatchReply::Current {
            // Rounded up, so that the age never falls short on its way.
            age_ms: millis(age) + 1,
            held_ms: millis(held),
            revision: news.revision,
            update: news.update,
            drains: (drains.version != request.drain_version)
                .then(|| message::DrainList::clone(&drains)),
            roster: None,
            followers: 0,
            members: Vec::new(),
            members_mark: 0,
            leader,
        }
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
