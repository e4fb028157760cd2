//! The crashes of backend servers in the replicated state.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::crash;

/// The crashes of backend servers and the parts of prompts that caused them.
///
/// A part is blocked if it was among the calls that waited for the begin of their answer at two
/// separate moments of crashes, and no answer to a call with it has begun since. Parts that were only
/// seen together are blocked only together. A crash that a blocked part explains tells nothing about
/// the other parts that were present.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CrashLedger {
    /// The latest time of any command, which never goes back.
    time_ms: u64,
    version: u64,
    /// The crashes in the order of their first report.
    incidents: collections::VecDeque<crash::CrashIncident>,
    blocked: Vec<crash::BlockedPrompt>,
    suspected: Vec<crash::PromptKey>,
}

impl CrashLedger {
    /// How long a crash is remembered, and with it the parts that it blocks.
    pub const RETENTION_MS: u64 = 1_800_000;

    /// The maximum number of crashes that are remembered.
    const MAX_INCIDENTS: usize = 128;

    /// The maximum number of parts that instances are asked about.
    const MAX_SUSPECTED: usize = 512;

    /// The moments of crashes after which a part is blocked.
    const MIN_MOMENTS: u32 = 2;

    /// The moments of crashes after which a part is blocked although another one is as suspect.
    const DECISIVE_MOMENTS: u32 = 3;

    /// Records a report at the proposer's time `now_ms`.
    pub fn record(&mut self, report: &crash::CrashReport, now_ms: u64) {
        self.time_ms = self.time_ms.max(now_ms);
        self.forget_old();
        let known = self.incidents.iter_mut().find(|known| known.is_of(report));
        if let Some(known) = known {
            known.merge(&report.calls);
        } else {
            let incident = crash::CrashIncident::new(report, self.time_ms);
            if !incident.calls.is_empty() {
                self.incidents.push_back(incident);
            }
        }
        self.limit_incidents();
        self.decide();
    }

    /// Records that answers to calls with these parts have begun.
    pub fn clear(&mut self, keys: &[crash::PromptKey]) {
        self.incidents.retain_mut(|incident| incident.clear(keys));
        self.decide();
    }

    /// Returns whether the report says anything that is not recorded.
    #[must_use]
    pub fn is_news(&self, report: &crash::CrashReport) -> bool {
        let known = self.incidents.iter().find(|known| known.is_of(report));
        let Some(known) = known else {
            return report.calls.iter().any(|call| !call.keys.is_empty());
        };
        let mut merged = known.clone();
        merged.merge(&report.calls);
        merged != *known
    }

    /// Returns those of the parts that were present at a crash.
    #[must_use]
    pub fn suspects_among(&self, keys: &[crash::PromptKey]) -> Vec<crash::PromptKey> {
        let present = |key: &crash::PromptKey| {
            let mut incidents = self.incidents.iter();
            incidents.any(|incident| incident.contains(*key))
        };
        keys.iter().copied().filter(present).collect()
    }

    /// Returns the version of the list, without the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the parts that instances refuse or watch.
    #[must_use]
    pub fn list(&self) -> crash::SuspectList {
        crash::SuspectList {
            version: self.version,
            blocked: self.blocked.clone(),
            suspected: self.suspected.clone(),
        }
    }

    fn forget_old(&mut self) {
        let oldest_ms = self.time_ms.saturating_sub(Self::RETENTION_MS);
        self.incidents
            .retain(|incident| incident.at_ms >= oldest_ms);
    }

    /// Drops the oldest crash beyond the maximum, if possible one that blocks nothing.
    fn limit_incidents(&mut self) {
        if self.incidents.len() <= Self::MAX_INCIDENTS {
            return;
        }
        let blocked = &self.blocked;
        let unexplained = self.incidents.iter().position(|incident| {
            let mut blocked = blocked.iter();
            !blocked.any(|prompt| incident.is_explained_by(prompt))
        });
        self.incidents.remove(unexplained.unwrap_or_default());
    }

    /// Decides anew which parts are blocked and suspected.
    fn decide(&mut self) {
        let mut open: Vec<_> = self.incidents.iter().collect();
        let mut blocked = Vec::new();
        while let Some(prompt) = most_suspect(&open) {
            open.retain(|incident| !incident.is_explained_by(&prompt));
            blocked.push(prompt);
        }
        blocked.sort_unstable();
        let mut suspected = collections::BTreeSet::new();
        for incident in open.iter().rev() {
            let keys = incident.calls.iter().flat_map(|call| &call.keys);
            suspected.extend(keys.copied());
            if suspected.len() >= Self::MAX_SUSPECTED {
                break;
            }
        }
        let suspected: Vec<_> = suspected.into_iter().take(Self::MAX_SUSPECTED).collect();
        if (&blocked, &suspected) != (&self.blocked, &self.suspected) {
            self.version += 1;
            self.blocked = blocked;
            self.suspected = suspected;
        }
    }
}

/// Returns the prompt that the crashes suggest most, if the evidence against it suffices.
fn most_suspect(incidents: &[&crash::CrashIncident]) -> Option<crash::BlockedPrompt> {
    let suspicions = crash::PromptSuspicion::collect(incidents);
    let (key, most) = suspicions
        .iter()
        .max_by_key(|(_, suspicion)| **suspicion)
        .filter(|(_, suspicion)| suspicion.moments >= CrashLedger::MIN_MOMENTS)?;
    let is_equal = |other: &&crash::PromptKey| {
        let suspicion = &suspicions[*other];
        (suspicion.weight, suspicion.moments) == (most.weight, most.moments)
            && present_at_same_crashes(incidents, *key, **other)
    };
    let (joined, rivals): (Vec<_>, Vec<_>) = suspicions
        .keys()
        .filter(is_equal)
        .partition(|other| in_same_calls(incidents, *key, **other));
    let decided = rivals.is_empty() || most.moments >= CrashLedger::DECISIVE_MOMENTS;
    decided.then(|| crash::BlockedPrompt::new(joined.into_iter().copied().collect()))
}

/// Returns whether the second part was present at all crashes at which the first one was.
fn present_at_same_crashes(
    incidents: &[&crash::CrashIncident],
    one: crash::PromptKey,
    other: crash::PromptKey,
) -> bool {
    let mut incidents = incidents.iter();
    incidents.all(|incident| !incident.contains(one) || incident.contains(other))
}

/// Returns whether the two parts were in the same calls at all crashes.
fn in_same_calls(
    incidents: &[&crash::CrashIncident],
    one: crash::PromptKey,
    other: crash::PromptKey,
) -> bool {
    let mut calls = incidents.iter().flat_map(|incident| &incident.calls);
    calls.all(|call| call.keys.contains(&one) == call.keys.contains(&other))
}
