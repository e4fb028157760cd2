//! Forwards changes of servers, caches and the configuration to the dispatcher and the rate limiter.

use std::sync;
use std::time;

use galenahold_domain::server;
use tokio::sync::mpsc;

use crate::backend;
use crate::configuration;
use crate::dispatch;
use crate::platform;
use crate::rate;
use crate::registry;
use crate::task;
use crate::timer;

/// The interval at which deadlines and draining replicas are checked.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(50);

/// The interval at which gauges are set and idle connections are closed.
const SWEEP_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Updates the dispatcher and the rate limiter from announcements, cache events and the configuration.
#[derive(Debug, Clone)]
pub(crate) struct ViewUpdater {
    /// Assigns replicas to requests.
    pub(crate) dispatcher: dispatch::Dispatcher,
    /// Holds the tokens granted to this instance.
    pub(crate) limiter: rate::RateLimiter,
    /// The configuration cache.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The known backend servers.
    pub(crate) registry: registry::ServerRegistry,
    /// The client that pools connections to backend servers.
    pub(crate) client: backend::BackendClient,
    /// The metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// The maximum age of an announcement for its backend server to count as alive.
    pub(crate) announcement_ttl: time::Duration,
}

impl ViewUpdater {
    /// Starts the updates, which run until the task group stops.
    pub(crate) fn start(
        self,
        events: mpsc::Receiver<server::CacheEvent>,
        timer: &timer::TimerService,
        group: &task::TaskGroup,
    ) {
        group.spawn_until_stop(self.clone().update_servers());
        group.spawn_until_stop(self.clone().apply_cache_events(events));
        group.spawn_until_stop(self.clone().update_teams());
        group.spawn_until_stop(self.clone().poll_drains(timer.subscribe(POLL_PERIOD)));
        group.spawn_until_stop(self.sweep(timer.subscribe(SWEEP_PERIOD)));
    }

    async fn update_servers(self) {
        let mut versions = self.registry.subscribe();
        let mut seen = 0;
        loop {
            let now = time::Instant::now();
            let notices = self.registry.notices(now);
            for entry in self.registry.entries_since(seen) {
                seen = seen.max(entry.version);
                let announcement = with_notices(&entry, &notices);
                self.dispatcher.announce(&announcement, entry.age(now), now);
            }
            for held in &notices {
                self.dispatcher.mark_ready(&held.notice);
            }
            self.dispatcher.dispatch_all();
            if versions.changed().await.is_err() {
                return;
            }
        }
    }

    async fn apply_cache_events(self, mut events: mpsc::Receiver<server::CacheEvent>) {
        while let Some(event) = events.recv().await {
            self.dispatcher.apply_cache_event(&event);
        }
    }

    async fn update_teams(self) {
        let mut revisions = self.cache.subscribe();
        loop {
            self.limiter
                .set_teams(&self.cache.index().view().intent.teams);
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    async fn poll_drains(self, mut subscription: timer::TimerSubscription) {
        let mut drains = 0;
        while let Some(now) = subscription.tick().await {
            let list = self.cache.drains();
            if list.version != drains {
                drains = list.version;
                self.dispatcher.set_drains(&list);
            }
            self.dispatcher.expire(now);
            self.dispatcher.dispatch_all();
        }
    }

    async fn sweep(self, mut subscription: timer::TimerSubscription) {
        while let Some(now) = subscription.tick().await {
            self.client.sweep();
            self.set_gauges(now);
        }
    }

    fn set_gauges(&self, now: time::Instant) {
        let revision = self.cache.index().revision().0;
        let age = self.cache.age().unwrap_or(time::Duration::MAX);
        let alive = self.registry.count_alive(self.announcement_ttl, now);
        self.metrics.revision.set(gauge(u128::from(revision)));
        self.metrics.age.set(gauge(age.as_millis()));
        self.metrics.servers.set(gauge(alive as u128));
    }
}

/// Returns the announcement of a backend server, with the replicas of current notices added.
fn with_notices(
    entry: &registry::RegistryEntry,
    notices: &[registry::HeldNotice],
) -> sync::Arc<server::ServerAnnouncement> {
    let mut announcement = sync::Arc::clone(&entry.announcement);
    let own = notices
        .iter()
        .filter(|held| held.notice.server == announcement.name);
    for held in own.collect::<Vec<_>>() {
        held.apply(sync::Arc::make_mut(&mut announcement));
    }
    announcement
}

fn gauge(value: u128) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
