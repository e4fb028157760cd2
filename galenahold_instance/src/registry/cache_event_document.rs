//! Parses the cache events of model engines.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::server;
use serde::{Deserialize, Deserializer, de};

/// The JSON form of a cache event, in which block hashes are strings of hexadecimal digits.
#[derive(Debug, Deserialize)]
pub(crate) struct CacheEventDocument {
    name: name::ServerName,
    incarnation: amount::IncarnationNumber,
    sequence: u64,
    model: name::ModelName,
    #[serde(default, deserialize_with = "read_hashes")]
    stored: Vec<u64>,
    #[serde(default, deserialize_with = "read_hashes")]
    removed: Vec<u64>,
    #[serde(default)]
    cleared: bool,
}

impl CacheEventDocument {
    /// Converts the document to a cache event.
    pub(crate) fn into_event(self) -> server::CacheEvent {
        server::CacheEvent {
            name: self.name,
            incarnation: self.incarnation,
            sequence: self.sequence,
            model: self.model,
            stored: self.stored,
            removed: self.removed,
            cleared: self.cleared,
        }
    }
}

fn read_hashes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u64>, D::Error> {
    let texts: Vec<String> = Vec::deserialize(deserializer)?;
    texts
        .iter()
        .map(|text| {
            u64::from_str_radix(text, 16).map_err(|_| {
                de::Error::custom(format!("{text:?}: must be up to 16 hexadecimal digits"))
            })
        })
        .collect()
}
