//! The configuration that an instance has in force.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::key;

/// The whole configuration at one revision: the snapshot that an instance takes on a gap.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The revision.
    pub revision: amount::RevisionNumber,
    /// The intent.
    pub intent: intent::FleetIntent,
    /// The keys, ordered by their public part.
    pub keys: Vec<key::KeyRecord>,
}
