//! Calls to models, with their routing decisions.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_routing::crash;
use galenahold_routing::replica;

use crate::dispatch;
use crate::entry;

/// A call to a model in progress, with the decisions that were made when it arrived.
#[derive(Debug, Clone)]
pub(crate) struct ModelCall {
    /// The id of the request.
    pub(crate) id: name::RequestId,
    /// The request path, such as `/v1/chat/completions`.
    pub(crate) path: String,
    /// The identity of the caller.
    pub(crate) identity: entry::CallerIdentity,
    /// The guard that checks whether the call may still run.
    pub(crate) guard: entry::KeyGuard,
    /// The parsed request body.
    pub(crate) request: entry::ModelRequest,
    /// The model version or adapter that serves the call.
    pub(crate) artifact: placement::ReplicaArtifact,
    /// The priority of the service.
    pub(crate) priority: i32,
    /// The maximum number of concurrent requests of one replica.
    pub(crate) concurrency: u32,
    /// The maximum number of tokens that the request can use.
    pub(crate) token_bound: amount::TokenCount,
    /// Hashes of the prompt's prefix blocks.
    pub(crate) prefix: replica::PrefixBlocks,
    /// The keys by which the call is recognized if its engine crashes.
    pub(crate) keys: crash::CallKeys,
    /// The body that is sent to the engine.
    pub(crate) body: bytes::Bytes,
    /// The deadline of the answer.
    pub(crate) deadline: time::Instant,
    /// The recorder of the request's outcome.
    pub(crate) recorder: entry::RequestRecorder,
}

impl ModelCall {
    /// Returns the number of tokens that the call spent, from the engine's counts if it reported
    /// them, or else from the prompt's length and the output tokens seen here.
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
        // A call to a model has no side effects, so it may be retried.
        true
    }

    fn keys(&self) -> &crash::CallKeys {
        &self.keys
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
