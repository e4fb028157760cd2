//! Properties of an idle replica.

use std::time;

use galenahold_domain::amount;

use crate::demand;

/// Replica without requests, as keep-alive policies see it.
#[derive(Debug, Clone, Copy)]
pub struct IdleReplica<'a> {
    /// The idle gaps of its model or adapter.
    pub history: &'a demand::ArrivalHistory,
    /// How long the replica has been idle.
    pub idle: time::Duration,
    /// Expected duration of loading it again.
    pub reload: time::Duration,
    /// Memory that the replica takes.
    pub bytes: amount::ByteCount,
}
