//! The keys that teams show.

use std::collections;

/// Maps teams to keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamKeys {
    keys: collections::BTreeMap<String, String>,
}

impl TeamKeys {
    /// Adds the key of a team.
    #[must_use]
    pub fn with(mut self, team: &str, key: &str) -> Self {
        self.keys.insert(team.to_owned(), key.to_owned());
        self
    }

    /// Returns the key of a team.
    #[must_use]
    pub fn get(&self, team: &str) -> Option<&str> {
        self.keys.get(team).map(String::as_str)
    }

    /// Lists all keys.
    pub fn values(&self) -> impl Iterator<Item = &str> {
        self.keys.values().map(String::as_str)
    }
}
