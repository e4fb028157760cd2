//! One call to a model on its way.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_routing::replica;

use crate::dispatch;
use crate::entry;

/// One call to a model on its way, with all that was decided about it when it came.
#[derive(Debug, Clone)]
pub(crate) struct ModelCall {
    /// The request's id.
    pub(crate) id: name::RequestId,
    /// The path, such as `/v1/chat/completions`.
    pub(crate) path: String,
    /// Who calls.
    pub(crate) identity: entry::CallerIdentity,
    /// Checks that the call may run.
    pub(crate) guard: entry::KeyGuard,
    /// The parsed request.
    pub(crate) request: entry::ModelRequest,
    /// What is to answer.
    pub(crate) artifact: placement::ReplicaArtifact,
    /// The service's priority.
    pub(crate) priority: i32,
    /// Requests that one replica runs at once.
    pub(crate) concurrency: u32,
    /// The most tokens that the request can take.
    pub(crate) token_bound: amount::TokenCount,
    /// Hashes of the prompt's prefix blocks.
    pub(crate) prefix: replica::PrefixBlocks,
    /// The body for the engine.
    pub(crate) body: bytes::Bytes,
    /// When the request has to be answered.
    pub(crate) deadline: time::Instant,
    /// Records how the request ends.
    pub(crate) recorder: entry::RequestRecorder,
}

impl ModelCall {
    /// Returns the tokens that the call spent, given the engine's counts and the output seen here.
    pub(crate) fn spent(
        &self,
        usage: Option<entry::UsageDocument>,
        output_seen: u64,
    ) -> amount::TokenCount {
        let prompt_bound = self.request.prompt().len() as u64;
        let spent = match usage {
            Some(usage) => usage.prompt_tokens + usage.completion_tokens.max(output_seen),
            None => (prompt_bound + output_seen).min(self.token_bound.0),
        };
        amount::TokenCount(spent)
    }
}

impl entry::AttemptCall for ModelCall {
    fn id(&self) -> &name::RequestId {
        &self.id
    }

    fn identity(&self) -> &entry::CallerIdentity {
        &self.identity
    }

    fn guard(&self) -> &entry::KeyGuard {
        &self.guard
    }

    fn recorder(&self) -> &entry::RequestRecorder {
        &self.recorder
    }

    fn deadline(&self) -> time::Instant {
        self.deadline
    }

    fn charged_tokens(&self) -> amount::TokenCount {
        self.token_bound
    }

    fn is_idempotent(&self) -> bool {
        // A model's answer has no effect beyond itself, so a call to it may be repeated.
        true
    }

    fn slot_request(
        &self,
        weight: f64,
        avoided_server: Option<name::ServerName>,
    ) -> dispatch::SlotRequest {
        dispatch::SlotRequest {
            target: replica::ReplicaTarget::Artifact(self.artifact.clone()),
            team: self.identity.team_or_empty(),
            weight,
            tokens: self.token_bound,
            bytes: amount::ByteCount(self.body.len() as u64),
            priority: self.priority,
            concurrency: self.concurrency,
            prefix: self.prefix.clone(),
            avoided_server,
            deadline: self.deadline,
        }
    }
}
