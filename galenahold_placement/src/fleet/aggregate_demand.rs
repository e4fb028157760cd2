//! Demand for one model, summed over all entry instances.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::fleet;

/// Time constant of the request rate's moving average.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(4);

/// Window in which a jump of the rate is seen: the average takes four times as long, in which a popular
/// model rejects most of its calls.
const JUMP_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Age from which an instance's report no longer counts.
const REPORT_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// Time for which a waiting request of unknown times is expected to stay.
const UNKNOWN_LEAVE: time::Duration = time::Duration::from_mins(1);

/// Request rate, waiting requests and running requests of one model, over all entry instances.
#[derive(Debug)]
pub(super) struct AggregateDemand {
    rate: f64,
    /// Arrivals of the last reports, as far as they are within the short window.
    recent: collections::VecDeque<(time::Instant, u32)>,
    rate_updated_at: time::Instant,
    last_request_at: time::Instant,
    reports: collections::HashMap<name::InstanceName, InstanceReport>,
}

#[derive(Debug)]
struct InstanceReport {
    waiting: u32,
    running: u32,
    /// When each listed waiting request is due and leaves.
    calls: Vec<CallWindow>,
    received_at: time::Instant,
}

/// When a waiting request is due, and when it leaves.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallWindow {
    pub(super) due_at: time::Instant,
    pub(super) leaves_at: time::Instant,
}

impl AggregateDemand {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            rate: 0.0,
            recent: collections::VecDeque::new(),
            rate_updated_at: now,
            last_request_at: now,
            reports: collections::HashMap::new(),
        }
    }

    /// Applies the report of an instance.
    pub(super) fn record_report(
        &mut self,
        instance: &name::InstanceName,
        counts: fleet::DemandCounts,
        now: time::Instant,
    ) {
        self.rate = self.mean_rate(now) + f64::from(counts.arrivals) / RATE_WINDOW.as_secs_f64();
        self.rate_updated_at = now;
        while let Some((received_at, _)) = self.recent.front()
            && now.saturating_duration_since(*received_at) >= JUMP_WINDOW
        {
            self.recent.pop_front();
        }
        if counts.arrivals > 0 {
            self.recent.push_back((now, counts.arrivals));
        }
        if counts.arrivals > 0 || counts.waiting > 0 {
            self.last_request_at = now;
        }
        let window = |call: fleet::WaitingCall| CallWindow {
            due_at: now + call.due_in,
            leaves_at: now + call.leaves_in,
        };
        let report = InstanceReport {
            waiting: counts.waiting,
            running: counts.running,
            calls: counts.waiting_calls.into_iter().map(window).collect(),
            received_at: now,
        };
        self.reports.insert(instance.clone(), report);
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.received_at) < REPORT_EXPIRY);
    }

    /// Returns the number of recent requests per second: the average, or the rate within the last second
    /// that is certain if that is higher.
    pub(super) fn rate(&self, now: time::Instant) -> f64 {
        self.mean_rate(now).max(self.certain_rate(now))
    }

    /// Returns the lower bound of the request rate within the last second, by two standard deviations of
    /// a Poisson process. A few calls that meet by chance give no rate.
    fn certain_rate(&self, now: time::Instant) -> f64 {
        let recent = self
            .recent
            .iter()
            .filter(|(received_at, _)| now.saturating_duration_since(*received_at) < JUMP_WINDOW);
        let count: f64 = recent.map(|(_, arrivals)| f64::from(*arrivals)).sum();
        (count - 2.0 * count.sqrt()).max(0.0) / JUMP_WINDOW.as_secs_f64()
    }

    fn mean_rate(&self, now: time::Instant) -> f64 {
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

    /// Iterates over the waiting requests. Those that a report counts without listing them are like its
    /// last listed one; without any listed one, as in the reports of earlier versions, they are due now
    /// and never leave.
    pub(super) fn waiting_calls(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = CallWindow> + '_ {
        self.current_reports(now).flat_map(move |report| {
            let unlisted = CallWindow {
                due_at: now,
                leaves_at: now + UNKNOWN_LEAVE,
            };
            let last = report.calls.last().copied().unwrap_or(unlisted);
            let count = usize::try_from(report.waiting).unwrap_or(usize::MAX);
            let rest = count.saturating_sub(report.calls.len());
            let listed = report.calls.iter().take(count).copied();
            listed.chain(std::iter::repeat_n(last, rest))
        })
    }

    /// Returns the time since the last report of any instance.
    pub(super) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.rate_updated_at)
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
