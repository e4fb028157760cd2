//! A replica without work.

use std::time;

use galenahold_domain::amount;

use crate::demand;

/// A replica without work.
#[derive(Debug, Clone, Copy)]
pub struct IdleReplica<'a> {
    /// The gaps between uses of its model or adapter.
    pub history: &'a demand::ArrivalHistory,
    /// How long it has had no work.
    pub idle: time::Duration,
    /// How long a load would take.
    pub reload: time::Duration,
    /// Memory that it takes.
    pub bytes: amount::ByteCount,
}
