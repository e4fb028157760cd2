//! Feeds the dispatcher and the wallet with what changes around them.

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

/// How often deadlines and drained replicas are looked at.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// How often gauges are set and idle connections are dropped.
const SWEEP_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Feeds the dispatcher and the wallet with announcements, cache events and the configuration.
#[derive(Debug, Clone)]
pub(crate) struct ViewUpdater {
    /// Gives requests their replicas.
    pub(crate) dispatcher: dispatch::Dispatcher,
    /// Keeps the tokens.
    pub(crate) limiter: rate::RateLimiter,
    /// The configuration.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The backend servers.
    pub(crate) registry: registry::ServerRegistry,
    /// The connections to backend servers.
    pub(crate) client: backend::BackendClient,
    /// The metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// How old an announcement may be for its backend server to count as alive.
    pub(crate) announcement_ttl: time::Duration,
}

impl ViewUpdater {
    /// Starts to feed until the group stops.
    pub(crate) fn start(
        self,
        events: mpsc::Receiver<server::CacheEvent>,
        timer: &timer::TimerService,
        group: &task::TaskGroup,
    ) {
        group.spawn_until_stop(self.clone().feed_announcements());
        group.spawn_until_stop(self.clone().feed_events(events));
        group.spawn_until_stop(self.clone().feed_teams());
        group.spawn_until_stop(self.clone().look(timer.subscribe(LOOK_PERIOD)));
        group.spawn_until_stop(self.sweep(timer.subscribe(SWEEP_PERIOD)));
    }

    async fn feed_announcements(self) {
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

    async fn feed_events(self, mut events: mpsc::Receiver<server::CacheEvent>) {
        while let Some(event) = events.recv().await {
            self.dispatcher.apply_cache_event(&event);
        }
    }

    async fn feed_teams(self) {
        let mut revisions = self.cache.subscribe();
        loop {
            self.limiter
                .set_teams(&self.cache.index().view().intent.teams);
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    async fn look(self, mut subscription: timer::TimerSubscription) {
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

/// Adds the replicas of notices that still stand to what a backend server announced.
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
