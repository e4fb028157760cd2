//! What an instance does.

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceRole {
    /// Takes callers' requests.
    Entry,
    /// Votes in the control group and keeps its state.
    Control,
}

impl InstanceRole {
    pub(crate) const WORDS: &'static [&'static str] = &["entry", "control"];

    pub(crate) fn from_word(word: &str) -> Option<Self> {
        match word {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            _ => None,
        }
    }
}
