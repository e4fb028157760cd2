//! What attempts need to know of a call.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;

use crate::backend;
use crate::dispatch;
use crate::entry;

/// What attempts need to know of a call, to a model or to a plain service.
pub(crate) trait AttemptCall {
    /// Returns the request's id.
    fn id(&self) -> &name::RequestId;

    /// Returns who calls.
    fn identity(&self) -> &entry::CallerIdentity;

    /// Returns what checks that the call may run.
    fn guard(&self) -> &entry::KeyGuard;

    /// Returns what records how the call ends.
    fn recorder(&self) -> &entry::RequestRecorder;

    /// Returns when the call has to be answered.
    fn deadline(&self) -> time::Instant;

    /// Returns the tokens that are charged before the call runs.
    fn charged_tokens(&self) -> amount::TokenCount;

    /// Returns whether the call may be repeated after it may have run.
    fn is_idempotent(&self) -> bool;

    /// Returns what an attempt needs of a replica; `avoided_server` names the backend server of the last one.
    fn slot_request(
        &self,
        weight: f64,
        avoided_server: Option<name::ServerName>,
    ) -> dispatch::SlotRequest;

    /// Returns whether an attempt may use a connection that served others before.
    ///
    /// A call that may not be repeated takes a new one: a closed idle one would leave its outcome
    /// unknown.
    fn connection_reuse(&self) -> backend::ConnectionReuse {
        if self.is_idempotent() {
            backend::ConnectionReuse::Any
        } else {
            backend::ConnectionReuse::Never
        }
    }
}
