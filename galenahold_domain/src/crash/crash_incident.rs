//! A crash of a backend server as all entry instances saw it.

use serde::{Deserialize, Serialize};

use crate::crash;
use crate::name;

/// One crash of a backend server, from the reports of all entry instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CrashIncident {
    pub(super) server: name::ServerName,
    pub(super) started_ms: u64,
    /// When the first report was recorded, in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    pub(super) calls: Vec<crash::SuspectCall>,
}

impl CrashIncident {
    /// The maximum number of calls that are kept of one crash: the slots of a large server, and some that
    /// waited there.
    const MAX_CALLS: usize = 96;

    /// The maximum number of calls of one crash whose parts are kept.
    const MAX_PROMPTS: usize = 16;

    pub(super) fn new(report: &crash::CrashReport, at_ms: u64) -> Self {
        let mut incident = Self {
            server: report.server.clone(),
            started_ms: report.started_ms,
            at_ms,
            calls: Vec::new(),
        };
        incident.merge(&report.calls);
        incident
    }

    pub(super) fn is_of(&self, report: &crash::CrashReport) -> bool {
        self.server == report.server && self.started_ms == report.started_ms
    }

    /// Adds the calls of a further report. A repeated report adds nothing.
    pub(super) fn merge(&mut self, calls: &[crash::SuspectCall]) {
        for call in calls {
            let mut call = call.clone();
            call.truncate();
            if !call.keys.is_empty() && !self.calls.contains(&call) {
                self.calls.push(call);
            }
        }
        self.calls.sort_by_key(|call| !call.answering);
        let prompts = self.calls.iter_mut().filter(|call| call.has_parts());
        prompts
            .skip(Self::MAX_PROMPTS)
            .for_each(crash::SuspectCall::drop_parts);
        self.calls.retain(|call| !call.keys.is_empty());
        self.calls.truncate(Self::MAX_CALLS);
    }

    /// Removes parts that proved harmless; returns whether any call is left.
    pub(super) fn clear(&mut self, cleared: &[crash::PromptKey]) -> bool {
        for call in &mut self.calls {
            call.keys.retain(|key| !cleared.contains(key));
        }
        self.calls.retain(|call| !call.keys.is_empty());
        !self.calls.is_empty()
    }

    pub(super) fn contains(&self, key: crash::PromptKey) -> bool {
        self.calls.iter().any(|call| call.keys.contains(&key))
    }

    /// Returns whether a request other than `key` was present that `is_suspect` accepts.
    pub(super) fn has_other_request(
        &self,
        key: crash::PromptKey,
        is_suspect: impl Fn(crash::PromptKey) -> bool,
    ) -> bool {
        let mut keys = self.calls.iter().flat_map(|call| &call.keys);
        keys.any(|other| other.is_request() && *other != key && is_suspect(*other))
    }

    /// Returns whether one of the calls has a prompt that is blocked.
    pub(super) fn is_explained_by(&self, blocked: &crash::BlockedPrompt) -> bool {
        self.calls.iter().any(|call| blocked.matches(&call.keys))
    }
}
