//! How long an idle replica stays loaded.

/// How long an idle replica stays loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlivePolicy {
    /// The same time for each model.
    Fixed,
    /// Until memory is wanted; the least recently used goes first.
    LeastRecentlyUsed,
    /// A time of its own for each model, from the times between its requests.
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
