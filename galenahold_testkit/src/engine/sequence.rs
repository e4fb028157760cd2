//! One request on its way through the batch.

use std::time;

use tokio::sync;

use crate::ledger;

/// One request on its way through the batch.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Its ledger entry.
    pub(crate) key: ledger::RequestKey,
    /// Its model or adapter.
    pub(crate) model: String,
    /// Its prompt.
    pub(crate) prompt: String,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Lower runs first.
    pub(crate) priority: i64,
    /// The next output token.
    pub(crate) next: u64,
    /// The number of output tokens at the end.
    pub(crate) end: u64,
    /// Output token at which it stands still on purpose.
    pub(crate) stall_at: Option<u64>,
    /// Output token at which it crashes its engine.
    pub(crate) crash_at: Option<u64>,
    /// When its prefill is done.
    pub(crate) prefilled_at: Option<time::Instant>,
    /// Takes one message for each token; closed by a cancelled request.
    pub(crate) tokens: sync::mpsc::UnboundedSender<()>,
}

impl Sequence {
    /// Returns the tokens not yet computed.
    pub(crate) fn outstanding_tokens(&self) -> u64 {
        let output = self.end - self.next;
        if self.prefilled_at.is_some() {
            output
        } else {
            output + self.prompt_tokens
        }
    }

    /// Tells whether the caller has gone.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.tokens.is_closed()
    }
}
