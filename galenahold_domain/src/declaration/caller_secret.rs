//! A secret key of a team, kept out of debug output.

use std::borrow;
use std::fmt;
use std::sync;

/// The secret key by which a caller authenticates. Its `Debug` form does not contain the key.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct CallerSecret(sync::Arc<str>);

impl From<&str> for CallerSecret {
    fn from(text: &str) -> Self {
        Self(sync::Arc::from(text))
    }
}

impl borrow::Borrow<str> for CallerSecret {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for CallerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerSecret(..)")
    }
}
