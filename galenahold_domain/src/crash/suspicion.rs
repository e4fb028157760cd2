//! The evidence against one part of a prompt.

use std::collections;

use crate::crash;

/// The evidence against one part of a prompt, from the crashes that it was present at.
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
                    suspicion.add(incident.at_ms, call.answering);
                }
            }
        }
        suspicions
    }

    fn add(&mut self, at_ms: u64, answering: bool) {
        let is_same = self.moments > 0 && at_ms < self.last_moment_ms + Self::MOMENT_MS;
        if is_same {
            return;
        }
        self.last_moment_ms = at_ms;
        self.moments += 1;
        self.weight += 1 + u32::from(answering);
    }
}
