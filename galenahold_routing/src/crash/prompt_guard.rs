//! Refusal of prompts and requests that crash backend servers.

use std::collections;
use std::time;

use galenahold_domain::crash as domain;

use crate::crash;

/// Decides for one entry instance which prompts and requests are refused, and which of the suspects it can
/// vouch for.
#[derive(Debug, Default)]
pub struct PromptGuard {
    list: domain::SuspectList,
    /// When each blocked prompt was listed first.
    blocked_at: collections::HashMap<domain::BlockedPrompt, time::Instant>,
    /// The blocked and suspected parts and requests.
    suspects: collections::HashSet<domain::PromptKey>,
    history: crash::StartHistory,
    /// Suspects that proved harmless here, which the control group does not know yet.
    harmless: collections::BTreeSet<domain::PromptKey>,
}

impl PromptGuard {
    /// How long a new block is provisional: longer than instances need to hear of it and to report
    /// that a part is harmless.
    pub const PROVISIONAL_TIME: time::Duration = time::Duration::from_secs(1);

    /// How long a block holds unless the list renews it.
    const BLOCK_TIME: time::Duration =
        time::Duration::from_millis(domain::CrashLedger::RETENTION_MS);

    /// Returns the version of the list that the guard follows.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.list.version
    }

    /// Returns the refusal of a call with these keys, or `None` if it may be sent.
    #[must_use]
    pub fn check(
        &self,
        prompt: &[domain::PromptKey],
        now: time::Instant,
    ) -> Option<crash::PromptRefusal> {
        let mut blocked = self.list.blocked.iter();
        let found = blocked.find(|blocked| {
            blocked.matches(prompt) && self.blocked_for(blocked, now) < Self::BLOCK_TIME
        })?;
        Some(crash::PromptRefusal {
            is_provisional: self.blocked_for(found, now) < Self::PROVISIONAL_TIME,
            blocked: found.clone(),
        })
    }

    /// Follows a new list of the control group and returns the prompts that were not blocked before.
    pub fn apply_list(
        &mut self,
        list: domain::SuspectList,
        now: time::Instant,
    ) -> Vec<domain::BlockedPrompt> {
        self.blocked_at
            .retain(|blocked, _| list.blocked.contains(blocked));
        let mut added = Vec::new();
        for blocked in &list.blocked {
            if !self.blocked_at.contains_key(blocked) {
                self.blocked_at.insert(blocked.clone(), now);
                added.push(blocked.clone());
            }
        }
        let blocked_keys = list.blocked.iter().flat_map(domain::BlockedPrompt::keys);
        self.suspects = blocked_keys.chain(&list.suspected).copied().collect();
        let (suspects, history) = (&self.suspects, &self.history);
        let started = suspects.iter().filter(|key| history.contains(**key, now));
        self.harmless = started.copied().collect();
        self.list = list;
        added
    }

    /// Records that the answer to a call with this prompt began; returns whether that clears a suspect.
    pub fn record_start(&mut self, prompt: &[domain::PromptKey], now: time::Instant) -> bool {
        let mut clears = false;
        for key in prompt {
            self.history.record(*key, now);
            clears |= self.suspects.contains(key) && self.harmless.insert(*key);
        }
        clears
    }

    /// Records that the answer to a request was completed; returns whether that clears a suspect.
    pub fn record_end(&mut self, request: domain::PromptKey) -> bool {
        self.suspects.contains(&request) && self.harmless.insert(request)
    }

    /// Returns the place of a request among the suspects that were at several crashes, or `None` if it is
    /// none of them. Suspects with different places are kept apart.
    #[must_use]
    pub fn suspect_place(&self, request: domain::PromptKey) -> Option<usize> {
        let mut suspects = self.list.suspected.iter().filter(|key| key.is_request());
        suspects
            .position(|suspect| *suspect == request)
            .filter(|_| !self.harmless.contains(&request))
    }

    /// Returns the suspects that proved harmless here, until a new list leaves them out.
    #[must_use]
    pub fn harmless(&self) -> Vec<domain::PromptKey> {
        self.harmless.iter().copied().collect()
    }

    /// Returns whether anything that this instance can vouch for is blocked.
    #[must_use]
    pub fn blocks_harmless(&self) -> bool {
        let mut keys = self
            .list
            .blocked
            .iter()
            .flat_map(domain::BlockedPrompt::keys);
        keys.any(|key| self.harmless.contains(key))
    }

    /// Returns those of the keys that may crash servers, as far as this instance knows.
    #[must_use]
    pub fn suspects_of(
        &self,
        prompt: &[domain::PromptKey],
        now: time::Instant,
    ) -> Vec<domain::PromptKey> {
        let parts = prompt.iter().copied();
        parts
            .filter(|key| !self.history.contains(*key, now))
            .collect()
    }

    /// Returns whether any of the keys is a suspect and has not proved harmless since.
    #[must_use]
    pub fn is_suspect(&self, prompt: &[domain::PromptKey]) -> bool {
        let mut parts = prompt.iter();
        parts.any(|key| self.suspects.contains(key) && !self.harmless.contains(key))
    }

    fn blocked_for(&self, blocked: &domain::BlockedPrompt, now: time::Instant) -> time::Duration {
        let since = self.blocked_at.get(blocked);
        since.map_or(time::Duration::ZERO, |since| {
            now.saturating_duration_since(*since)
        })
    }
}
