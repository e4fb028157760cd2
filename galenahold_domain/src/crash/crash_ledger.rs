//! The crashes of backend servers in the replicated state.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::crash;

/// The crashes of backend servers and the parts of prompts and the requests that caused them.
///
/// A part is blocked if it was among the calls that waited for the begin of their answer at two
/// separate moments of crashes, in different requests, and no answer to a call with it has begun since.
/// Parts that were only seen together are blocked only together.
///
/// A request is blocked if it was in progress, whether its answer had begun or not, at three separate
/// moments of crashes, and no answer to it was completed since. If another request that was present at
/// two of them could explain each of these crashes as well, it takes a fourth.
///
/// A crash that a blocked part or request explains tells nothing about the others that were present.
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
    const MAX_INCIDENTS: usize = 256;

    /// The maximum number of parts that instances are asked about.
    const MAX_SUSPECTED: usize = 512;

    /// The maximum number of requests that instances treat as suspects.
    const MAX_SUSPECT_REQUESTS: usize = 256;

    /// The moments of crashes after which a part is blocked.
    const MIN_MOMENTS: u32 = 2;

    /// The moments of crashes after which a part is blocked although another one is as suspect.
    const DECISIVE_MOMENTS: u32 = 3;

    /// The moments of crashes after which a request is a suspect: a single one may be chance for each of
    /// the many requests at a server.
    const SUSPECT_REQUEST_MOMENTS: u32 = 2;

    /// The moments of crashes after which a request is blocked: it bears two that are chance.
    const MIN_REQUEST_MOMENTS: u32 = 3;

    /// The moments of crashes after which a request is blocked although others are as suspect.
    const DECISIVE_REQUEST_MOMENTS: u32 = 4;

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

    /// Records that answers to calls with these parts have begun, and that those to these requests are
    /// complete.
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

    /// Returns those of the keys that were present at a crash.
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

    /// Returns what instances refuse or watch.
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

    /// Drops the oldest crash beyond the maximum: if possible one that blocks nothing, else one of the
    /// sender with the most crashes, so that no sender displaces what is known of another.
    fn limit_incidents(&mut self) {
        if self.incidents.len() <= Self::MAX_INCIDENTS {
            return;
        }
        let blocked = &self.blocked;
        let explained_by = |incident: &crash::CrashIncident| {
            let mut blocked = blocked.iter();
            blocked.find(|prompt| incident.is_explained_by(prompt))
        };
        let sources = self.incidents.iter().map(|incident| {
            let prompt = explained_by(incident)?;
            let request = prompt.keys().iter().find(|key| key.is_request());
            Some(request.map(|key| key.source()))
        });
        let sources: Vec<_> = sources.collect();
        let count = |source| sources.iter().filter(|other| **other == source).count();
        let dropped = sources.iter().position(Option::is_none).or_else(|| {
            let positions = (0..sources.len()).rev();
            positions.max_by_key(|position| count(sources[*position]))
        });
        self.incidents.remove(dropped.unwrap_or_default());
    }

    /// Decides anew what is blocked and suspected.
    fn decide(&mut self) {
        let mut open: Vec<_> = self.incidents.iter().collect();
        let mut blocked = Vec::new();
        let mut suspicions = crash::PromptSuspicion::collect(&open);
        while let Some(prompt) =
            most_suspect_request(&open, &suspicions).or_else(|| most_suspect(&open, &suspicions))
        {
            open.retain(|incident| !incident.is_explained_by(&prompt));
            blocked.push(prompt);
            suspicions = crash::PromptSuspicion::collect(&open);
        }
        blocked.sort_unstable();
        let requests = suspicions.iter().filter(|(key, suspicion)| {
            key.is_request() && suspicion.moments >= Self::SUSPECT_REQUEST_MOMENTS
        });
        let requests = requests.map(|(key, _)| *key);
        let mut parts = collections::BTreeSet::new();
        for incident in open.iter().rev() {
            let keys = incident.calls.iter().flat_map(|call| &call.keys);
            parts.extend(keys.copied().filter(|key| !key.is_request()));
            if parts.len() >= Self::MAX_SUSPECTED {
                break;
            }
        }
        let parts = parts.into_iter().take(Self::MAX_SUSPECTED);
        let suspected: Vec<_> = parts
            .chain(requests.take(Self::MAX_SUSPECT_REQUESTS))
            .collect();
        if (&blocked, &suspected) != (&self.blocked, &self.suspected) {
            self.version += 1;
            self.blocked = blocked;
            self.suspected = suspected;
        }
    }
}

/// Returns the request that the crashes suggest most, if the evidence against it suffices.
fn most_suspect_request(
    incidents: &[&crash::CrashIncident],
    suspicions: &collections::BTreeMap<crash::PromptKey, crash::PromptSuspicion>,
) -> Option<crash::BlockedPrompt> {
    let is_suspect =
        |key: crash::PromptKey| suspicions[&key].moments >= CrashLedger::SUSPECT_REQUEST_MOMENTS;
    let is_alone = |key: crash::PromptKey| {
        let mut present = incidents.iter().filter(|incident| incident.contains(key));
        present.any(|incident| !incident.has_other_request(key, is_suspect))
    };
    let (key, _) = suspicions
        .iter()
        .filter(|(key, suspicion)| {
            key.is_request()
                && suspicion.moments >= CrashLedger::MIN_REQUEST_MOMENTS
                && (suspicion.moments >= CrashLedger::DECISIVE_REQUEST_MOMENTS || is_alone(**key))
        })
        .max_by_key(|(_, suspicion)| suspicion.moments)?;
    Some(crash::BlockedPrompt::new(vec![*key]))
}

/// Returns the parts that the crashes suggest most, if the evidence against them suffices.
fn most_suspect(
    incidents: &[&crash::CrashIncident],
    suspicions: &collections::BTreeMap<crash::PromptKey, crash::PromptSuspicion>,
) -> Option<crash::BlockedPrompt> {
    let parts = || suspicions.iter().filter(|(key, _)| !key.is_request());
    let (key, most) = parts()
        .filter(|(key, suspicion)| {
            suspicion.moments >= CrashLedger::MIN_MOMENTS && !is_of_one_request(incidents, **key)
        })
        .max_by_key(|(_, suspicion)| **suspicion)?;
    let is_equal = |other: &crash::PromptKey| {
        let suspicion = &suspicions[other];
        (suspicion.weight, suspicion.moments) == (most.weight, most.moments)
            && present_at_same_crashes(incidents, *key, *other)
    };
    let (joined, rivals): (Vec<_>, Vec<_>) = parts()
        .map(|(other, _)| *other)
        .filter(is_equal)
        .partition(|other| in_same_calls(incidents, *key, *other));
    let decided = rivals.is_empty() || most.moments >= CrashLedger::DECISIVE_MOMENTS;
    decided.then(|| crash::BlockedPrompt::new(joined))
}

/// Returns whether a part was present in one request only, which its sender repeated: then the request
/// is the suspect, and others with the part are not.
fn is_of_one_request(incidents: &[&crash::CrashIncident], part: crash::PromptKey) -> bool {
    let calls = incidents.iter().flat_map(|incident| &incident.calls);
    let mut requests = calls
        .filter(|call| call.keys.contains(&part))
        .map(|call| call.keys.iter().find(|key| key.is_request()));
    let first = requests.next().flatten();
    first.is_some() && requests.all(|request| request == first)
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
