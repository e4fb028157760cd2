//! The answer to a request whose prompt is blocked.

use std::time;

use galenahold_routing::crash;

use crate::api;

/// Retry delay for a request whose prompt is blocked provisionally.
const PROVISIONAL_RETRY_DELAY: time::Duration = crash::PromptGuard::PROVISIONAL_TIME;

/// Returns the refusal of a request with a blocked prompt, which was not sent.
pub(crate) fn refuse_prompt(refusal: &crash::PromptRefusal) -> api::RequestRefusal {
    let parts = &refusal.blocked;
    if refusal.is_provisional {
        return api::RequestRefusal::not_run(
            api::RefusalKind::BackendUnavailable,
            format!("backend servers may crash on requests with the prompt part {parts}"),
        )
        .retry_after(PROVISIONAL_RETRY_DELAY);
    }
    api::RequestRefusal::not_run(
        api::RefusalKind::PromptBlocked,
        format!(
            "backend servers crash on requests with the prompt part {parts}; do not send it again"
        ),
    )
}
