//! Replica selection policies.

/// The policy that selects a replica for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoicePolicy {
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest outstanding requests.
    LeastOutstanding,
    /// The less loaded of two replicas drawn at random.
    TwoChoices,
    /// The replica that holds the prompt's prefix, if its load is within a bound; otherwise as
    /// `TwoChoices`.
    PrefixAffinity,
}

impl ReplicaChoicePolicy {
    pub(crate) const WORDS: &'static [&'static str] = &[
        "round_robin",
        "least_outstanding",
        "two_choices",
        "prefix_affinity",
    ];

    pub(crate) fn from_word(word: &str) -> Option<Self> {
        match word {
            "round_robin" => Some(Self::RoundRobin),
            "least_outstanding" => Some(Self::LeastOutstanding),
            "two_choices" => Some(Self::TwoChoices),
            "prefix_affinity" => Some(Self::PrefixAffinity),
            _ => None,
        }
    }
}
