//! How a replica is chosen for a request.

/// How a replica is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoicePolicy {
    /// One after the other.
    RoundRobin,
    /// The one with the fewest outstanding requests.
    LeastOutstanding,
    /// The less loaded of two drawn at random.
    TwoChoices,
    /// The one that holds the prompt's prefix, within a load bound, otherwise two choices.
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
