//! A key that a caller shows.

use std::borrow;
use std::fmt;
use std::sync;

/// A key that a caller shows. Its debug form never shows it.
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
