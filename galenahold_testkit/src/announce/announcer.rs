//! The task that announces a server.

use std::collections;
use std::sync;
use std::time;

use super::{AnnounceSettings, Announcement, LoadReport};
use crate::http;

/// Path of announcements.
const ANNOUNCE_PATH: &str = "/v1/backend/announce";
/// Time that one announcement may take.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A server that can say what it holds.
pub(crate) trait AnnouncedState: Send + Sync + 'static {
    /// Returns the present announcement with sequence zero, or `None` while the server is silent.
    fn announcement(&self) -> Option<Announcement>;
}

/// Sends announcements at a steady pace, to one instance after the other.
#[derive(Debug)]
pub(crate) struct Announcer<S> {
    settings: AnnounceSettings,
    state: sync::Arc<S>,
    client: http::HttpClient,
    reports: collections::VecDeque<(time::Instant, LoadReport)>,
    sequence: u64,
}

impl<S: AnnouncedState> Announcer<S> {
    /// Makes the announcer of `state`.
    pub(crate) fn new(settings: AnnounceSettings, state: sync::Arc<S>) -> Self {
        Self {
            settings,
            state,
            client: http::HttpClient::new(ANNOUNCE_TIMEOUT),
            reports: collections::VecDeque::new(),
            sequence: 0,
        }
    }

    /// Announces until it is dropped.
    pub(crate) async fn run(mut self) {
        if self.settings.instances.is_empty() {
            return;
        }
        let pace = time::Duration::from_millis(self.settings.interval_ms.max(1));
        let mut ticks = tokio::time::interval(pace);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for turn in 0.. {
            ticks.tick().await;
            self.announce(turn).await;
        }
    }

    /// Sends one announcement.
    async fn announce(&mut self, turn: usize) {
        let Some(mut announcement) = self.state.announcement() else {
            return;
        };
        self.sequence += 1;
        announcement.sequence = self.sequence;
        announcement.load = self.lagging_load(announcement.load);
        let instances = &self.settings.instances;
        let instance = instances[turn % instances.len()];
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        match self.client.post(instance, ANNOUNCE_PATH, body).await {
            Ok(status) if status.is_success() => {}
            Ok(status) => log::warn!("{instance} answered {status} to an announcement"),
            Err(error) => log::debug!("announcement failed: {error}"),
        }
    }

    /// Keeps `report` and returns the newest one that is older than the lag.
    fn lagging_load(&mut self, report: LoadReport) -> LoadReport {
        let lag = time::Duration::from_millis(self.settings.load_lag_ms);
        let now = time::Instant::now();
        self.reports.push_back((now, report));
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((at, report)) if now.duration_since(*at) >= lag => *report,
            _ => LoadReport::default(),
        }
    }
}
