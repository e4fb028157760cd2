//! One order to misbehave.

use serde::{Deserialize, Serialize};

/// Changes how a stand-in behaves; the JSON form has the name in `control`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "control", rename_all = "snake_case")]
#[non_exhaustive]
pub enum ServerControl {
    /// Ends the whole server in the middle of its next load.
    CrashNextLoad,
    /// Ends the whole server as it answers a prompt with this text.
    CrashOnPrompt {
        /// The text.
        text: String,
        /// Tokens before the end.
        #[serde(default)]
        after_tokens: u64,
    },
    /// Answers the next calls for the rest of an answer with an error in plain text.
    RefuseRest {
        /// The calls to answer so.
        count: u64,
    },
    /// Says in all answers that the server leaves, but not in announcements.
    SayLeaving,
    /// Refuses all calls and asks for a pause.
    AskForPause {
        /// The pause in seconds.
        seconds: u64,
    },
    /// Stops all work without closing connections, or goes on.
    Pause {
        /// Whether to stop.
        on: bool,
    },
    /// Announces, or no longer does.
    Announce {
        /// Whether to announce.
        on: bool,
    },
    /// Announces that the server leaves; it keeps answering.
    Leave,
    /// Gives the next answers another request id, and at engines another text.
    WrongRequestId {
        /// The answers to spoil.
        count: u64,
    },
    /// Cuts the connection of the next streams after some tokens.
    CutStream {
        /// Tokens before the cut.
        after_tokens: u64,
        /// The streams to cut.
        count: u64,
    },
    /// Leaves the next streams open and silent after some tokens.
    StallStream {
        /// Tokens before the silence.
        after_tokens: u64,
        /// The streams to stall.
        count: u64,
    },
    /// Loses the next cache events.
    DropCacheEvents {
        /// The events to lose.
        count: u64,
    },
    /// Divides the speed of the weight store.
    SlowStore {
        /// The divisor, at least 1.
        divisor: u64,
    },
    /// Stops the weight store, or lets it go on.
    StallStore {
        /// Whether to stop.
        on: bool,
    },
    /// Resets the connection before the body of the next calls is read.
    ResetBeforeBody {
        /// The calls to reset.
        count: u64,
    },
    /// Resets the connection in the middle of the body of the next calls.
    ResetDuringBody {
        /// The calls to reset.
        count: u64,
    },
    /// Resets the connection once the body is read, without running the call.
    ResetAfterBody {
        /// The calls to reset.
        count: u64,
    },
    /// Runs the next calls and never answers them.
    RunWithoutAnswer {
        /// The calls to leave unanswered.
        count: u64,
    },
    /// Runs the next calls and resets their connection in place of the answer.
    RunThenReset {
        /// The calls to reset.
        count: u64,
    },
    /// Delays every call before it runs.
    Delay {
        /// Milliseconds of delay.
        delay_ms: u64,
    },
    /// Answers the next calls with 503 and the verdict that nothing ran.
    RefuseNotRun {
        /// The calls to refuse.
        count: u64,
    },
}
