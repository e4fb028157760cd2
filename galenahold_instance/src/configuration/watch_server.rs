//! Serves watch calls of other instances from the configuration cache.

use std::time;

use galenahold_domain::crash;
use galenahold_routing::leader;
use galenahold_wire::message;

use crate::configuration;

/// How much newer a confirmation must be than the caller's for an immediate reply.
const MIN_CONFIRMATION_GAP: time::Duration = time::Duration::from_millis(50);

/// Relays the configuration to other instances, with an age that includes the age at this instance.
#[derive(Debug, Clone)]
pub(crate) struct WatchServer {
    cache: configuration::ConfigurationCache,
}

impl WatchServer {
    /// Creates a server over the configuration cache of this instance.
    pub(crate) fn new(cache: configuration::ConfigurationCache) -> Self {
        Self { cache }
    }

    /// Replies once there is a change for the caller, or at the end of the request's hold time.
    ///
    /// `leader` is called last, and its result goes with the reply, so that the caller can contact the leader.
    pub(crate) async fn watch(
        &self,
        request: message::WatchRequest,
        leader: impl Fn() -> leader::LeaderHint,
    ) -> message::WatchReply {
        let started = time::Instant::now();
        let hold = time::Duration::from_millis(request.hold_ms);
        if self.is_ahead_of(&request) {
            return self.reply(&request, started, leader());
        }
        let mut revisions = self.cache.subscribe();
        let mut confirmations = self.cache.subscribe_confirmations();
        confirmations.mark_unchanged();
        // The senders live as long as the cache.
        tokio::select! {
            _ = revisions.wait_for(|revision| *revision > request.have.0) => {}
            // A confirmation is relayed immediately, so that ages do not add up from relay to relay.
            _ = confirmations.changed() => {}
            () = tokio::time::sleep(hold) => {}
        }
        self.reply(&request, started, leader())
    }

    /// Returns whether this instance has a later confirmation than the caller.
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
        hint: leader::LeaderHint,
    ) -> message::WatchReply {
        // The age is read first: the data read after it is at least as new as the age states.
        let held = started.elapsed();
        let Some(age) = self.cache.age().filter(|_| self.cache.is_fresh()) else {
            return message::WatchReply::unavailable(hint);
        };
        let delta = self.cache.delta_since(request.have);
        let drains = self.cache.drains();
        let suspects = self.cache.suspects();
        message::WatchReply::Current {
            // Rounded up, so that the age is never understated in transit.
            age_ms: millis(age) + 1,
            held_ms: millis(held),
            revision: delta.revision,
            update: delta.update,
            drains: (drains.version != request.drain_version)
                .then(|| Box::new(message::DrainList::clone(&drains))),
            suspects: (suspects.version != request.suspect_version)
                .then(|| Box::new(crash::SuspectList::clone(&suspects))),
            roster: None,
            loads: None,
            followers: 0,
            members: Vec::new(),
            members_mark: 0,
            leader: hint.name,
            term: hint.term,
        }
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
