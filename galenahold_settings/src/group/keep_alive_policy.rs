//! Keep-alive policies of idle replicas.

/// The policy that decides how long an idle replica stays loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlivePolicy {
    /// The same duration for every model.
    Fixed,
    /// Until its memory is needed; the least recently used replica is evicted first.
    LeastRecentlyUsed,
    /// A duration per model, derived from the histogram of the times between its requests.
    Histogram,
}

impl KeepAlivePolicy {
    pub(crate) const WORDS: &'static [&'static str] =
        &["fixed", "least_recently_used", "histogram"];

    pub(crate) fn from_word(word: &str) -> Option<Self> {
        match word {
            "fixed" => Some(Self::Fixed),
            "least_recently_used" => Some(Self::LeastRecentlyUsed),
            "histogram" => Some(Self::Histogram),
            _ => None,
        }
    }
}
