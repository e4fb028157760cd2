//! An entry instance's view of the loads of all instances.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::load;

/// Number of own reports that are kept: those of the last two seconds or more.
const KEPT_REPORTS: usize = 5;

/// The loads and speeds that the leader has sent, and what of the loads is the instance's own.
#[derive(Debug, Default)]
pub struct LoadView {
    version: load::LoadVersion,
    measured_at: Option<time::Instant>,
    servers: Vec<Option<ViewServer>>,
    models: Vec<Option<ViewModel>>,
    /// Own reports that the leader confirmed, oldest first.
    reports: collections::VecDeque<OwnReport>,
}

#[derive(Debug)]
struct ViewServer {
    server: name::ServerName,
    started_ms: u64,
    total: load::UseAmounts,
    pace: Option<load::PaceLevel>,
}

#[derive(Debug)]
struct ViewModel {
    model: name::ModelName,
    event: Option<load::PaceLevel>,
}

#[derive(Debug)]
struct OwnReport {
    sent_at: time::Instant,
    uses: collections::HashMap<name::ServerName, (u64, load::UseAmounts)>,
}

impl LoadView {
    /// Returns the version up to which the leader's loads were received.
    #[must_use]
    pub fn version(&self) -> load::LoadVersion {
        self.version
    }

    /// Returns the number of servers in the view.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.iter().flatten().count()
    }

    /// Returns the time since the leader summed up the loads; `None` without a view.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        let measured_at = self.measured_at?;
        Some(now.saturating_duration_since(measured_at))
    }

    /// Records a list of own uses that was sent at `sent_at` and confirmed by the leader.
    pub fn record_report(&mut self, uses: &[load::ServerUse], sent_at: time::Instant) {
        if self.reports.len() >= KEPT_REPORTS {
            self.reports.pop_front();
        }
        let uses = uses.iter().map(|used| {
            let amounts = load::UseAmounts::of(used);
            (used.server.clone(), (used.started_ms, amounts))
        });
        self.reports.push_back(OwnReport {
            sent_at,
            uses: uses.collect(),
        });
    }

    /// Applies an update that was received at `received_at`; returns `false` if it does not fit the view.
    pub fn apply(&mut self, update: &load::LoadUpdate, received_at: time::Instant) -> bool {
        if update.is_full {
            self.servers.clear();
            self.models.clear();
        } else if update.version.term != self.version.term
            || update.version.version < self.version.version
        {
            // The next request asks for a full update.
            self.version = load::LoadVersion::default();
            return false;
        }
        self.version = update.version;
        let age = time::Duration::from_millis(update.age_ms);
        self.measured_at = received_at.checked_sub(age).or(Some(received_at));
        for row in &update.servers {
            let server = ViewServer {
                server: row.server.clone(),
                started_ms: row.started_ms,
                total: load::UseAmounts::default(),
                pace: None,
            };
            set_at(&mut self.servers, row.number, server);
        }
        self.apply_columns(update);
        for row in &update.models {
            let model = ViewModel {
                model: row.model.clone(),
                event: None,
            };
            set_at(&mut self.models, row.number, model);
        }
        for row in &update.bases {
            let slot = self.models.get_mut(usize::from(row.number));
            if let Some(model) = slot.and_then(Option::as_mut) {
                model.event = Some(row.event);
            }
        }
        true
    }

    /// Iterates over the loads that other instances put on the servers, as of the last update.
    pub fn loads(&self) -> impl Iterator<Item = load::ServerLoad> {
        let measured_at = self.measured_at;
        let own = measured_at.and_then(|at| {
            let mut reports = self.reports.iter().rev();
            reports.find(|report| report.sent_at <= at)
        });
        self.servers
            .iter()
            .flatten()
            .filter_map(move |server| Some(server.load(own, measured_at?)))
    }

    /// Iterates over the known speeds of models.
    pub fn model_paces(&self) -> impl Iterator<Item = load::ModelPace> {
        self.models.iter().flatten().filter_map(|model| {
            Some(load::ModelPace {
                model: model.model.clone(),
                event: model.event?.duration(),
            })
        })
    }

    fn apply_columns(&mut self, update: &load::LoadUpdate) {
        self.apply_column(&update.running, |server, code| {
            server.total.running = load::LoadLevel::from_code(code).load();
        });
        self.apply_column(&update.unread, |server, code| {
            server.total.unread_tokens = load::LoadLevel::from_code(code).tokens();
        });
        self.apply_column(&update.cache, |server, code| {
            server.total.cache_tokens = load::LoadLevel::from_code(code).tokens();
        });
        self.apply_column(&update.paces, |server, code| {
            server.pace = Some(load::PaceLevel::from_code(code));
        });
    }

    fn apply_column(&mut self, column: &load::LoadColumn, set: impl Fn(&mut ViewServer, u8)) {
        for (number, code) in column.iter() {
            if let Some(server) = self.servers.get_mut(number).and_then(Option::as_mut) {
                set(server, code);
            }
        }
    }
}

impl ViewServer {
    /// Returns the load of the other instances: the total without the own part that was in it.
    fn load(&self, own: Option<&OwnReport>, measured_at: time::Instant) -> load::ServerLoad {
        let own = own.and_then(|report| report.uses.get(&self.server));
        let own = own.filter(|(started_ms, _)| *started_ms == self.started_ms);
        let own = own.map(|(_, amounts)| *amounts).unwrap_or_default();
        let total = self.total;
        load::ServerLoad {
            server: self.server.clone(),
            started_ms: self.started_ms,
            running: total.running.saturating_sub(own.running),
            unread_tokens: total.unread_tokens.saturating_sub(own.unread_tokens),
            cache_tokens: total.cache_tokens.saturating_sub(own.cache_tokens),
            pace: self.pace.map(load::PaceLevel::value),
            measured_at,
        }
    }
}

fn set_at<Item>(items: &mut Vec<Option<Item>>, number: u16, item: Item) {
    let number = usize::from(number);
    if items.len() <= number {
        items.resize_with(number + 1, || None);
    }
    items[number] = Some(item);
}
