//! Interface between calls and the runner of their attempts.

use std::future;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::crash;

use crate::backend;
use crate::dispatch;
use crate::entry;

/// A call to a model or a plain service, as seen by the runner of its attempts.
pub(crate) trait AttemptCall {
    /// Returns the id of the request.
    fn id(&self) -> &name::RequestId;

    /// Returns the identity of the caller.
    fn identity(&self) -> &entry::CallerIdentity;

    /// Returns the guard that checks whether the call may still run.
    fn guard(&self) -> &entry::KeyGuard;

    /// Returns the recorder of the request's outcome.
    fn recorder(&self) -> &entry::RequestRecorder;

    /// Returns the deadline of the answer.
    fn deadline(&self) -> time::Instant;

    /// Returns when the caller has left a call that goes on without it; other calls are dropped with
    /// their callers.
    fn caller_left(&self) -> impl future::Future<Output = ()> + Send {
        future::pending()
    }

    /// Returns the number of tokens that are charged before the call runs.
    fn charged_tokens(&self) -> amount::TokenCount;

    /// Returns whether the call may be retried after it may have run.
    fn is_idempotent(&self) -> bool;

    /// Returns the keys by which the call is recognized if its server crashes.
    fn keys(&self) -> &crash::CallKeys;

    /// Returns the slot request of the next attempt; `avoided_server` is the backend server of the
    /// last one.
    fn slot_request(
        &self,
        weight: f64,
        avoided_server: Option<name::ServerName>,
    ) -> dispatch::SlotRequest;

    /// Returns whether an attempt may reuse a pooled connection.
    ///
    /// A call that may not be retried uses a new connection: an idle one that the server closes would
    /// leave its outcome unknown.
    fn connection_reuse(&self) -> backend::ConnectionReuse {
        if self.is_idempotent() {
            backend::ConnectionReuse::Any
        } else {
            backend::ConnectionReuse::Never
        }
    }
}
