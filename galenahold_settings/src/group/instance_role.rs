//! Roles of an instance.

/// A role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceRole {
    /// Accepts callers' requests.
    Entry,
    /// Votes in the control group and stores its state.
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
