//! One backend server in the replica table.

use std::net;
use std::time;

use galenahold_domain::{amount, name, server};

use crate::replica;

/// An incarnation of a backend server, with its last load report and the requests of this instance.
#[derive(Debug)]
pub struct ServerEntry {
    pub(super) name: name::ServerName,
    pub(super) name_hash: u64,
    pub(super) incarnation: amount::IncarnationNumber,
    pub(super) sequence: u64,
    pub(super) address: net::SocketAddr,
    pub(super) data_centre: name::DataCentreName,
    pub(super) leaving: bool,
    pub(super) live: bool,
    pub(super) seen_at: time::Instant,
    pub(super) load: server::ServerLoad,
    /// Requests of this instance that were in flight when the load report was received.
    pub(super) local_at_report: LocalWork,
    pub(super) local: LocalWork,
    pub(super) replicas: Vec<replica::ReplicaKey>,
}

/// Requests of this instance that are in flight, and their tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LocalWork {
    pub(super) tokens: u64,
    pub(super) requests: u32,
}

impl ServerEntry {
    /// Returns the backend server's name.
    #[must_use]
    pub fn name(&self) -> &name::ServerName {
        &self.name
    }

    /// Returns the incarnation of the backend server.
    #[must_use]
    pub fn incarnation(&self) -> amount::IncarnationNumber {
        self.incarnation
    }

    /// Returns the address at which the server takes requests.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the data centre that the server runs in.
    #[must_use]
    pub fn data_centre(&self) -> &name::DataCentreName {
        &self.data_centre
    }

    /// Returns whether the server may get new requests: its last announcement is recent, and it is not
    /// leaving.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.live && !self.leaving
    }

    /// Estimates the tokens outstanding at the server.
    ///
    /// The estimate adds the tokens of this instance to those of other instances by the last report, which
    /// decay with its age.
    pub(super) fn estimate_tokens(&self, now: time::Instant, decay_time: time::Duration) -> f64 {
        let reported = self.load.outstanding_tokens.0;
        let others = reported.saturating_sub(self.local_at_report.tokens);
        to_float(self.local.tokens) + to_float(others) * self.decay_factor(now, decay_time)
    }

    /// Estimates the requests at the server in the same way as the tokens.
    pub(super) fn estimate_requests(&self, now: time::Instant, decay_time: time::Duration) -> f64 {
        let reported = self.load.running.saturating_add(self.load.queued);
        let others = reported.saturating_sub(self.local_at_report.requests);
        f64::from(self.local.requests) + f64::from(others) * self.decay_factor(now, decay_time)
    }

    fn decay_factor(&self, now: time::Instant, decay_time: time::Duration) -> f64 {
        let age = now.saturating_duration_since(self.seen_at);
        (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 52 bits"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
