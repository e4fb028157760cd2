//! The answer to a request that is blocked.

use std::time;

use galenahold_routing::crash;

use crate::api;

/// Retry delay for a request that is blocked provisionally.
const PROVISIONAL_RETRY_DELAY: time::Duration = crash::PromptGuard::PROVISIONAL_TIME;

/// Returns the refusal of a request that is blocked, which was not sent.
pub(crate) fn refuse_prompt(refusal: &crash::PromptRefusal) -> api::RequestRefusal {
    let requests = if refusal.blocked.is_request() {
        "this request".to_owned()
    } else {
        format!("requests with the prompt part {}", refusal.blocked)
    };
    if refusal.is_provisional {
        return api::RequestRefusal::not_run(
            api::RefusalKind::BackendUnavailable,
            format!("backend servers may crash on {requests}"),
        )
        .retry_after(PROVISIONAL_RETRY_DELAY);
    }
    api::RequestRefusal::not_run(
        api::RefusalKind::PromptBlocked,
        format!("backend servers crash on {requests}; do not send it again"),
    )
}
