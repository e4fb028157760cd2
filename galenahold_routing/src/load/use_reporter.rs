//! Reports of an entry instance's use of servers.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::load;

/// Minimum time between two lists. Demand is reported up to 16 times a second while calls wait; a list with
/// each report would cost more than all other control traffic.
const MIN_LIST_INTERVAL: time::Duration = time::Duration::from_millis(650);

/// Maximum number of servers whose speed one list reports. The leader uses one measurement of a server each
/// 400 ms from all instances together.
const MAX_MEASURED: usize = 4;

/// Maximum number of servers whose measurements wait for a list.
const MAX_PENDING: usize = 64;

/// Maximum number of models whose speed is reported for a server at once.
const MAX_MODELS: usize = 8;

/// Maximum number of measurements of a model at a server that one report sums up.
const MAX_SAMPLES: usize = 31;

/// Tokens are reported in units of this many: the leader rounds sums to 256, and round numbers compress better.
const TOKEN_UNIT: u32 = 64;

/// Times per event are reported in units of this many microseconds.
const EVENT_UNIT_US: u32 = 1_024;

/// Collects what an entry instance tells the leader about its use of servers.
#[derive(Debug, Default)]
pub struct UseReporter {
    listed_at: Option<time::Instant>,
    /// The servers with calls in flight in the last list.
    listed: collections::HashMap<name::ServerName, u64>,
    /// Measurements that were not reported yet, those of the longest waiting servers first.
    paces: collections::VecDeque<ServerPaces>,
}

/// Measurements at one start of a server since the last list.
#[derive(Debug)]
struct ServerPaces {
    server: name::ServerName,
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
        let pending = self.paces.iter_mut().find(|paces| paces.server == *server);
        if let Some(paces) = pending {
            if paces.started_ms < started_ms {
                *paces = ServerPaces::new(server.clone(), started_ms);
            }
            if paces.started_ms == started_ms {
                paces.record(sample);
            }
        } else if self.paces.len() < MAX_PENDING {
            let mut paces = ServerPaces::new(server.clone(), started_ms);
            paces.record(sample);
            self.paces.push_back(paces);
        }
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
            used.unread_tokens = rounded(used.unread_tokens, TOKEN_UNIT);
            used.cache_tokens = rounded(used.cache_tokens, TOKEN_UNIT);
            list.push(used);
        }
        let idle = idle.into_iter();
        list.extend(idle.map(|(server, started_ms)| unused(server, started_ms)));
        self.add_paces(&mut list);
        list
    }

    /// Adds measurements to a list; those that are too many wait for the next list.
    fn add_paces(&mut self, list: &mut Vec<load::ServerUse>) {
        let count = self.paces.len().min(MAX_MEASURED);
        for paces in self.paces.drain(..count) {
            let listed = list.iter_mut().find(|used| used.server == paces.server);
            if let Some(used) = listed {
                if used.started_ms == paces.started_ms {
                    used.paces = paces.models;
                }
            } else {
                let mut used = unused(paces.server, paces.started_ms);
                used.paces = paces.models;
                list.push(used);
            }
        }
        for pace in list.iter_mut().flat_map(|used| &mut used.paces) {
            pace.event_us = rounded(pace.event_us, EVENT_UNIT_US);
        }
    }
}

impl ServerPaces {
    fn new(server: name::ServerName, started_ms: u64) -> Self {
        Self {
            server,
            started_ms,
            models: Vec::new(),
            samples_us: Vec::new(),
        }
    }

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

fn unused(server: name::ServerName, started_ms: u64) -> load::ServerUse {
    load::ServerUse {
        server,
        started_ms,
        running: 0,
        unread_tokens: 0,
        cache_tokens: 0,
        paces: Vec::new(),
    }
}

/// Rounds to the nearest multiple of a unit, but not to zero.
fn rounded(amount: u32, unit: u32) -> u32 {
    if amount == 0 {
        return 0;
    }
    let units = amount.saturating_add(unit / 2) / unit;
    units.max(1).saturating_mul(unit)
}
