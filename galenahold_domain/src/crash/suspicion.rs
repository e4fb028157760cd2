//! The evidence against one part of a prompt or one request.

use std::collections;

use crate::crash;

/// The evidence against one part of a prompt or one request, from the crashes that it was present at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PromptSuspicion {
    /// Counts a moment at which servers crashed once, and once more if the server was about to answer
    /// a call with the part.
    pub(super) weight: u32,
    /// The moments at which servers crashed.
    pub(super) moments: u32,
    last_moment_ms: u64,
}

impl PromptSuspicion {
    /// Crashes within this time count as one: a rack that loses power crashes many servers at once.
    const MOMENT_MS: u64 = 200;

    /// The same for one request, which is equal in fewer calls than a part of a prompt.
    const REQUEST_MOMENT_MS: u64 = 50;

    /// Collects the evidence against each part from incidents in the order of time.
    pub(super) fn collect(
        incidents: &[&crash::CrashIncident],
    ) -> collections::BTreeMap<crash::PromptKey, Self> {
        let mut suspicions = collections::BTreeMap::<_, Self>::new();
        for incident in incidents {
            let mut seen = collections::BTreeSet::new();
            // Calls that were about to be answered come first.
            for call in &incident.calls {
                for key in call.keys.iter().filter(|key| seen.insert(**key)) {
                    let suspicion = suspicions.entry(*key).or_default();
                    suspicion.add(incident.at_ms, call, key.is_request());
                }
            }
        }
        suspicions
    }

    /// Adds a crash. A request that was sent after the last crash is present at another moment, however soon
    /// it crashes its next server.
    fn add(&mut self, at_ms: u64, call: &crash::SuspectCall, is_request: bool) {
        let moment_ms = if is_request {
            Self::REQUEST_MOMENT_MS
        } else {
            Self::MOMENT_MS
        };
        let is_near = self.moments > 0 && at_ms < self.last_moment_ms + moment_ms;
        let sent_ms = call.age_ms.map(|age_ms| at_ms.saturating_sub(age_ms));
        let was_sent_after = sent_ms.is_some_and(|sent_ms| sent_ms >= self.last_moment_ms);
        if is_near && !(is_request && was_sent_after) {
            return;
        }
        self.last_moment_ms = at_ms;
        self.moments += 1;
        self.weight += 1 + u32::from(call.answering);
    }
}
