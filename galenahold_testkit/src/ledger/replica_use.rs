//! How much of what was held was used.

use std::collections;

use super::{LedgerSnapshot, ReplicaEvent, RequestRecord};

/// Time in which base models were held, and in which they ran requests.
///
/// A model takes its share of the accelerator: its bytes over the engine's memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaUse {
    /// Microseconds of whole accelerators taken by models.
    pub held_us: u64,
    /// Microseconds of whole accelerators taken by models without a request.
    pub idle_us: u64,
}

/// A stretch of time in microseconds.
#[derive(Debug, Clone, Copy)]
struct TimeSpan {
    from_us: u64,
    to_us: u64,
}

impl ReplicaUse {
    /// Sums up one engine's ledger until `until_us`, in microseconds since the Unix epoch.
    #[must_use]
    pub fn of(ledger: &LedgerSnapshot, until_us: u64) -> Self {
        let mut events: collections::BTreeMap<&str, Vec<&ReplicaEvent>> =
            collections::BTreeMap::new();
        for event in &ledger.replicas {
            events.entry(&event.model).or_default().push(event);
        }
        let mut total = Self::default();
        for (model, events) in events {
            let busy = busy_spans(&ledger.requests, model, until_us);
            total.add(&events, &busy, ledger.capacity_bytes, until_us);
        }
        total
    }

    fn add(
        &mut self,
        events: &[&ReplicaEvent],
        busy: &[TimeSpan],
        capacity_bytes: u64,
        until_us: u64,
    ) {
        let ends = events.iter().skip(1).map(|event| event.at_us);
        for (event, to_us) in events.iter().zip(ends.chain([until_us])) {
            let span = TimeSpan {
                from_us: event.at_us,
                to_us: to_us.max(event.at_us),
            };
            let busy_us: u64 = busy.iter().map(|busy| busy.overlap_us(span)).sum();
            let share_of = |time_us: u64| {
                let share = u128::from(time_us) * u128::from(event.model_bytes);
                let whole = share / u128::from(capacity_bytes.max(1));
                u64::try_from(whole).unwrap_or(u64::MAX)
            };
            self.held_us += share_of(span.length_us());
            self.idle_us += share_of(span.length_us() - busy_us);
        }
    }
}

impl TimeSpan {
    fn length_us(self) -> u64 {
        self.to_us - self.from_us
    }

    fn overlap_us(self, other: Self) -> u64 {
        let from_us = self.from_us.max(other.from_us);
        self.to_us.min(other.to_us).saturating_sub(from_us)
    }
}

/// Joins the times of all requests that a base model ran.
fn busy_spans(requests: &[RequestRecord], model: &str, until_us: u64) -> Vec<TimeSpan> {
    let mut spans: Vec<_> = requests
        .iter()
        .filter(|request| request.base_model == model)
        .map(|request| TimeSpan {
            from_us: request.started_us,
            to_us: request.ended_us.unwrap_or(until_us),
        })
        .collect();
    spans.sort_by_key(|span| span.from_us);
    let mut joined: Vec<TimeSpan> = Vec::new();
    for span in spans {
        match joined.last_mut() {
            Some(last) if span.from_us <= last.to_us => last.to_us = last.to_us.max(span.to_us),
            _ => joined.push(span),
        }
    }
    joined
}
