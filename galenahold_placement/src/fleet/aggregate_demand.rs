//! Demand for one model, summed over all entry instances.

use std::collections;
use std::time;

use galenahold_domain::name;

/// Time constant of the request rate's moving average.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(4);

/// Age from which an instance's report no longer counts.
const REPORT_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// Request rate, waiting requests and running requests of one model, over all entry instances.
#[derive(Debug)]
pub(super) struct AggregateDemand {
    rate: f64,
    rate_updated_at: time::Instant,
    last_request_at: time::Instant,
    reports: collections::HashMap<name::InstanceName, InstanceReport>,
}

#[derive(Debug)]
struct InstanceReport {
    waiting: u32,
    running: u32,
    received_at: time::Instant,
}

impl AggregateDemand {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            rate: 0.0,
            rate_updated_at: now,
            last_request_at: now,
            reports: collections::HashMap::new(),
        }
    }

    /// Applies the report of an instance.
    pub(super) fn record_report(
        &mut self,
        instance: &name::InstanceName,
        arrivals: u32,
        waiting: u32,
        running: u32,
        now: time::Instant,
    ) {
        self.rate = self.rate(now) + f64::from(arrivals) / RATE_WINDOW.as_secs_f64();
        self.rate_updated_at = now;
        if arrivals > 0 || waiting > 0 {
            self.last_request_at = now;
        }
        let report = InstanceReport {
            waiting,
            running,
            received_at: now,
        };
        self.reports.insert(instance.clone(), report);
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.received_at) < REPORT_EXPIRY);
    }

    /// Returns the average number of recent requests per second.
    pub(super) fn rate(&self, now: time::Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.rate_updated_at);
        self.rate * (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self, now: time::Instant) -> u32 {
        self.current_reports(now).map(|report| report.waiting).sum()
    }

    /// Returns the number of running requests.
    pub(super) fn running(&self, now: time::Instant) -> u32 {
        self.current_reports(now).map(|report| report.running).sum()
    }

    /// Returns the time since requests last arrived or waited.
    pub(super) fn idle_for(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.last_request_at)
    }

    fn current_reports(&self, now: time::Instant) -> impl Iterator<Item = &InstanceReport> {
        self.reports
            .values()
            .filter(move |report| now.saturating_duration_since(report.received_at) < REPORT_EXPIRY)
    }
}
