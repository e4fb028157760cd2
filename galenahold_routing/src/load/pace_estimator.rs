//! Estimates of the speeds of servers and models.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::load;

/// Time over which the measurements of a server are merged into one. An engine that is slow for 600 ms at a
/// time then has at most three of the window's measurements slow, however many calls it serves.
const SLOT: time::Duration = time::Duration::from_millis(400);

/// Number of measurements of a server or model that count. With 15 % of them slow by chance, more than half
/// are slow in about one of 800 windows.
const WINDOW: usize = 13;

/// Number of measurements from which a server's factor counts as known. With five, the factors of a fleet were
/// found a second later and the worst one was not better.
const MIN_MEASUREMENTS: usize = 3;

/// Minimum number of gaps between events in a usable measurement.
const MIN_EVENTS: u32 = 3;

/// How far from the median a logarithm counts in a mean. A server that is slow by chance deviates by 0.92, of
/// which less than a third counts, and for all servers alike.
const MAX_DEVIATION: f64 = 0.3;

/// Largest change of a logarithm for the first measurement; falls in proportion to their number.
const FIRST_STEP: f64 = 1.5;

/// Largest change of a logarithm for a measurement once there are many: if a whole window is slow by chance
/// for one measurement, a factor moves by 5 %.
const LAST_STEP: f64 = 0.05;

/// How long a model's base time is kept without measurements.
const MODEL_RETENTION: time::Duration = time::Duration::from_mins(10);

/// Estimates a factor for each server and a base time for each model, such that the time per event of a
/// model at a server is their product.
///
/// Each measurement moves the logarithms of both a limited step towards the middle of what the last
/// measurements give, in which single measurements far from the median count little: a server may be slower by
/// chance for 15 % of the time. A model that was measured at a single server says nothing about that server's
/// speed, as either could be slow.
#[derive(Debug)]
pub struct PaceEstimator {
    started_at: time::Instant,
    servers: collections::HashMap<name::ServerName, ServerPace>,
    models: collections::HashMap<name::ModelName, BasePace>,
    /// Mean of the logarithms of the known factors, at which a new server starts.
    mean_log: f64,
}

#[derive(Debug)]
struct ServerPace {
    started_ms: u64,
    factor_log: f64,
    fits: u32,
    is_known: bool,
    entries: collections::VecDeque<ServerEntry>,
}

/// The measurements of a server within one slot.
#[derive(Debug)]
struct ServerEntry {
    slot: u128,
    model: name::ModelName,
    event_log: f64,
    count: u32,
}

#[derive(Debug)]
struct BasePace {
    base_log: f64,
    fits: u32,
    measured_at: time::Instant,
    entries: collections::VecDeque<(name::ServerName, f64)>,
}

impl PaceEstimator {
    /// Creates an estimator without measurements.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            started_at: now,
            servers: collections::HashMap::new(),
            models: collections::HashMap::new(),
            mean_log: 0.0,
        }
    }

    /// Applies a measurement at a start of a server. The factor of an earlier start is discarded.
    pub fn record(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        sample: &load::PaceSample,
        now: time::Instant,
    ) {
        if sample.event_us == 0 || sample.events < MIN_EVENTS {
            return;
        }
        let event_log = f64::from(sample.event_us).ln();
        let slot = now.saturating_duration_since(self.started_at).as_millis() / SLOT.as_millis();
        let mean_log = self.mean_log;
        let pace = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| ServerPace::new(started_ms, mean_log));
        if started_ms < pace.started_ms {
            return;
        }
        if started_ms > pace.started_ms {
            *pace = ServerPace::new(started_ms, mean_log);
        }
        let base = self
            .models
            .entry(sample.model.clone())
            .or_insert_with(|| BasePace::new(event_log - pace.factor_log, now));
        base.measured_at = now;
        let base_log = base.base_log;
        if let Some(entry) = pace.entries.back_mut().filter(|entry| entry.slot == slot) {
            let merged = self.models.get(&entry.model);
            let difference = merged.map_or(0.0, |merged| merged.base_log - base_log);
            entry.merge(event_log + difference);
            return;
        }
        base.push(server, event_log);
        pace.push(ServerEntry {
            slot,
            model: sample.model.clone(),
            event_log,
            count: 1,
        });
        self.fit_server(server);
        self.fit_model(&sample.model);
    }

    /// Returns the time for an event at a server relative to the mean of all servers; `None` if unknown.
    #[must_use]
    pub fn factor(&self, server: &name::ServerName) -> Option<f64> {
        let pace = self.servers.get(server).filter(|pace| pace.is_known)?;
        Some((pace.factor_log - self.mean_log).exp())
    }

    /// Iterates over the known factors: server, its start and its factor.
    pub fn factors(&self) -> impl Iterator<Item = (&name::ServerName, u64, f64)> {
        let known = self.servers.iter().filter(|(_, pace)| pace.is_known);
        known.map(|(server, pace)| {
            let factor = (pace.factor_log - self.mean_log).exp();
            (server, pace.started_ms, factor)
        })
    }

    /// Iterates over the base times of models: model and time per event at a server of mean speed, in
    /// microseconds.
    pub fn bases(&self) -> impl Iterator<Item = (&name::ModelName, f64)> {
        self.models
            .iter()
            .map(|(model, base)| (model, (base.base_log + self.mean_log).exp()))
    }

    /// Sets the mean factor to one; the estimates between two calls may drift a little from it.
    pub fn centre(&mut self) {
        let known = self.servers.values().filter(|pace| pace.is_known);
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), pace| {
            (count + 1.0, sum + pace.factor_log)
        });
        if count > 0.0 {
            self.mean_log = sum / count;
        }
    }

    /// Discards servers that are gone, and models without measurements for some minutes.
    pub fn retain(&mut self, is_present: impl Fn(&name::ServerName) -> bool, now: time::Instant) {
        self.servers.retain(|server, _| is_present(server));
        self.models
            .retain(|_, base| now.saturating_duration_since(base.measured_at) < MODEL_RETENTION);
    }

    /// Discards the factor of an earlier start of a server.
    pub fn restart(&mut self, server: &name::ServerName, started_ms: u64) {
        let is_earlier = |pace: &ServerPace| pace.started_ms < started_ms;
        if self.servers.get(server).is_some_and(is_earlier) {
            self.servers.remove(server);
        }
    }

    fn fit_server(&mut self, server: &name::ServerName) {
        let Some(pace) = self.servers.get_mut(server) else {
            return;
        };
        let logs = pace.entries.iter().filter_map(|entry| {
            let base = self.models.get(&entry.model)?;
            base.compares_servers()
                .then_some(entry.event_log - base.base_log)
        });
        let logs: Vec<_> = logs.collect();
        if logs.len() < MIN_MEASUREMENTS {
            return;
        }
        pace.fits += 1;
        pace.is_known = true;
        pace.factor_log = step_towards(pace.factor_log, robust_mean(logs), pace.fits);
    }

    fn fit_model(&mut self, model: &name::ModelName) {
        let Some(base) = self.models.get_mut(model) else {
            return;
        };
        let logs = base.entries.iter().filter_map(|(server, event_log)| {
            let pace = self.servers.get(server)?;
            Some(event_log - pace.factor_log)
        });
        let logs: Vec<_> = logs.collect();
        if logs.is_empty() {
            return;
        }
        base.fits += 1;
        base.base_log = step_towards(base.base_log, robust_mean(logs), base.fits);
    }
}

impl ServerPace {
    fn new(started_ms: u64, factor_log: f64) -> Self {
        Self {
            started_ms,
            factor_log,
            fits: 0,
            is_known: false,
            entries: collections::VecDeque::new(),
        }
    }

    fn push(&mut self, entry: ServerEntry) {
        if self.entries.len() >= WINDOW {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }
}

impl ServerEntry {
    fn merge(&mut self, event_log: f64) {
        self.count += 1;
        self.event_log += (event_log - self.event_log) / f64::from(self.count);
    }
}

impl BasePace {
    fn new(base_log: f64, now: time::Instant) -> Self {
        Self {
            base_log,
            fits: 0,
            measured_at: now,
            entries: collections::VecDeque::new(),
        }
    }

    fn push(&mut self, server: &name::ServerName, event_log: f64) {
        if self.entries.len() >= WINDOW {
            self.entries.pop_front();
        }
        self.entries.push_back((server.clone(), event_log));
    }

    /// Returns whether the model was measured at several servers.
    fn compares_servers(&self) -> bool {
        let Some((first, _)) = self.entries.front() else {
            return false;
        };
        self.entries.iter().any(|(server, _)| server != first)
    }
}

fn step_towards(from: f64, target: f64, fits: u32) -> f64 {
    let limit = (FIRST_STEP / f64::from(fits.max(1) + 1)).max(LAST_STEP);
    from + (target - from).clamp(-limit, limit)
}

/// Returns the mean of values of which those far from the median count as if they were closer.
///
/// A median alone does not do: where several servers of different estimated speed share a model, it is the
/// value of the middle one, and the errors of the others would stay.
fn robust_mean(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let Some(median) = values.get(values.len() / 2).copied() else {
        return 0.0;
    };
    let (mut count, mut sum) = (0.0, 0.0);
    for value in values {
        count += 1.0;
        sum += (value - median).clamp(-MAX_DEVIATION, MAX_DEVIATION);
    }
    median + sum / count
}
