//! The parts of prompts to which answers began.

use std::collections;
use std::time;

use galenahold_domain::crash;

/// The parts of prompts of recent calls whose answers began, for a bounded number of parts.
#[derive(Debug, Default)]
pub(super) struct StartHistory {
    started: collections::HashMap<crash::PromptKey, time::Instant>,
    /// All recorded starts in their order; the last one of each part is also in `started`.
    order: collections::VecDeque<(crash::PromptKey, time::Instant)>,
}

impl StartHistory {
    /// How long a part counts as harmless: one that was harmless may crash a new version of a server.
    const TRUST_TIME: time::Duration = time::Duration::from_secs(30);

    /// The maximum number of starts that are remembered.
    const MAX_STARTS: usize = 16_384;

    pub(super) fn record(&mut self, key: crash::PromptKey, now: time::Instant) {
        self.started.insert(key, now);
        self.order.push_back((key, now));
        while let Some((oldest, at)) = self.order.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= Self::TRUST_TIME;
            if !is_expired && self.order.len() <= Self::MAX_STARTS {
                break;
            }
            self.order.pop_front();
            if self.started.get(&oldest) == Some(&at) {
                self.started.remove(&oldest);
            }
        }
    }

    /// Returns whether an answer to a call with the part began lately.
    pub(super) fn contains(&self, key: crash::PromptKey, now: time::Instant) -> bool {
        self.started
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < Self::TRUST_TIME)
    }
}
