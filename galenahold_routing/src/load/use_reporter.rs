//! Reports of an entry instance's use of servers.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::load;

/// Minimum time between two lists. Demand is reported up to 16 times a second while calls wait; a list with
/// each report would cost more than all other control traffic.
const MIN_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum number of models whose speed is reported for a server at once.
const MAX_MODELS: usize = 8;

/// Maximum number of measurements of a model at a server that one report sums up.
const MAX_SAMPLES: usize = 31;

/// Collects what an entry instance tells the leader about its use of servers.
#[derive(Debug, Default)]
pub struct UseReporter {
    listed_at: Option<time::Instant>,
    /// The servers with calls in flight in the last list.
    listed: collections::HashMap<name::ServerName, u64>,
    paces: collections::HashMap<name::ServerName, ServerPaces>,
}

/// Measurements at one start of a server since the last list.
#[derive(Debug)]
struct ServerPaces {
    started_ms: u64,
    models: Vec<load::PaceSample>,
    /// The single measurements of each model, in microseconds.
    samples_us: Vec<Vec<u32>>,
}

impl UseReporter {
    /// Records a measurement at a server.
    pub fn record_pace(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        sample: load::PaceSample,
    ) {
        let new = || ServerPaces {
            started_ms,
            models: Vec::new(),
            samples_us: Vec::new(),
        };
        let paces = self.paces.entry(server.clone()).or_insert_with(new);
        if paces.started_ms < started_ms {
            *paces = new();
        } else if paces.started_ms > started_ms {
            return;
        }
        paces.record(sample);
    }

    /// Returns the servers to report, given the present use of servers with own calls.
    ///
    /// Lists the servers with own calls, those that had some in the last list, and those with measurements.
    /// The list is empty if the last one was just made. A server that is not listed is assumed idle by the
    /// leader after a while, so a lost report does no lasting harm.
    pub fn take(
        &mut self,
        uses: impl Iterator<Item = load::ServerUse>,
        now: time::Instant,
    ) -> Vec<load::ServerUse> {
        let is_early = self
            .listed_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_LIST_INTERVAL);
        if is_early {
            return Vec::new();
        }
        self.listed_at = Some(now);
        let mut idle = std::mem::take(&mut self.listed);
        let mut list = Vec::new();
        for mut used in uses {
            idle.remove(&used.server);
            self.listed.insert(used.server.clone(), used.started_ms);
            used.paces = self.take_paces(&used.server, used.started_ms);
            list.push(used);
        }
        let unused = |server, started_ms| load::ServerUse {
            server,
            started_ms,
            running: 0,
            unread_tokens: 0,
            cache_tokens: 0,
            paces: Vec::new(),
        };
        for (server, started_ms) in idle {
            let paces = self.take_paces(&server, started_ms);
            list.push(load::ServerUse {
                paces,
                ..unused(server, started_ms)
            });
        }
        for (server, paces) in self.paces.drain() {
            list.push(load::ServerUse {
                paces: paces.models,
                ..unused(server, paces.started_ms)
            });
        }
        list
    }

    fn take_paces(&mut self, server: &name::ServerName, started_ms: u64) -> Vec<load::PaceSample> {
        match self.paces.remove(server) {
            Some(paces) if paces.started_ms == started_ms => paces.models,
            _ => Vec::new(),
        }
    }
}

impl ServerPaces {
    fn record(&mut self, sample: load::PaceSample) {
        let known = self
            .models
            .iter()
            .position(|pace| pace.model == sample.model);
        let Some(position) = known else {
            if self.models.len() < MAX_MODELS {
                self.samples_us.push(vec![sample.event_us]);
                self.models.push(sample);
            }
            return;
        };
        let samples = &mut self.samples_us[position];
        if samples.len() >= MAX_SAMPLES {
            return;
        }
        samples.push(sample.event_us);
        samples.sort_unstable();
        let pace = &mut self.models[position];
        pace.event_us = samples[samples.len() / 2];
        pace.events = pace.events.saturating_add(sample.events);
    }
}
