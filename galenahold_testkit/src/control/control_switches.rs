//! The present settings of all switches.

use std::time;

use super::ServerControl;
use crate::state_lock;

/// Pause between looks at a switch that holds work back.
const SWITCH_POLL: time::Duration = time::Duration::from_millis(5);

#[derive(Debug, Default)]
struct BoardState {
    crashes: u64,
    statements: AnswerStatements,
    refused_rests: u64,
    deadly_prompt: Option<(String, u64)>,
    paused: bool,
    silent: bool,
    leaving: bool,
    wrong_request_ids: u64,
    cuts: StreamFault,
    stalls: StreamFault,
    dropped_cache_events: u64,
    resets_before_body: u64,
    resets_during_body: u64,
    resets_after_body: u64,
    runs_without_answer: u64,
    runs_then_reset: u64,
    refusals: u64,
    delay: time::Duration,
}

/// What the server states about itself in answers.
#[derive(Debug, Default)]
struct AnswerStatements {
    leaving: bool,
    pause_s: Option<u64>,
}

#[derive(Debug, Default)]
struct StreamFault {
    after_tokens: u64,
    count: u64,
}

impl StreamFault {
    fn take(&mut self) -> Option<u64> {
        take_one(&mut self.count).then_some(self.after_tokens)
    }
}

/// Uses up one of `count`; tells whether there was one.
fn take_one(count: &mut u64) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

/// Holds the switches of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct ControlSwitches {
    state: state_lock::StateLock<BoardState>,
}

impl ControlSwitches {
    /// Sets a switch; tells whether there is such a one, which those of the store are not.
    pub(crate) fn apply(&self, control: &ServerControl) -> bool {
        let mut state = self.state.lock();
        match *control {
            ServerControl::CrashNextLoad => state.crashes = 1,
            ServerControl::CrashOnPrompt {
                ref text,
                after_tokens,
            } => state.deadly_prompt = Some((text.clone(), after_tokens)),
            ServerControl::RefuseRest { count } => state.refused_rests = count,
            ServerControl::SayLeaving => state.statements.leaving = true,
            ServerControl::AskForPause { seconds } => state.statements.pause_s = Some(seconds),
            ServerControl::Pause { on } => state.paused = on,
            ServerControl::Announce { on } => state.silent = !on,
            ServerControl::Leave => state.leaving = true,
            ServerControl::WrongRequestId { count } => state.wrong_request_ids = count,
            ServerControl::CutStream {
                after_tokens,
                count,
            } => {
                state.cuts = StreamFault {
                    after_tokens,
                    count,
                };
            }
            ServerControl::StallStream {
                after_tokens,
                count,
            } => {
                state.stalls = StreamFault {
                    after_tokens,
                    count,
                };
            }
            ServerControl::DropCacheEvents { count } => state.dropped_cache_events = count,
            ServerControl::ResetBeforeBody { count } => state.resets_before_body = count,
            ServerControl::ResetDuringBody { count } => state.resets_during_body = count,
            ServerControl::ResetAfterBody { count } => state.resets_after_body = count,
            ServerControl::RunWithoutAnswer { count } => state.runs_without_answer = count,
            ServerControl::RunThenReset { count } => state.runs_then_reset = count,
            ServerControl::Delay { delay_ms } => {
                state.delay = time::Duration::from_millis(delay_ms);
            }
            ServerControl::RefuseNotRun { count } => state.refusals = count,
            ServerControl::SlowStore { .. } | ServerControl::StallStore { .. } => return false,
        }
        true
    }

    /// Clears all switches, as a restart does.
    pub(crate) fn clear(&self) {
        *self.state.lock() = BoardState::default();
    }

    /// Tells whether the server stands still.
    pub(crate) fn is_paused(&self) -> bool {
        self.state.lock().paused
    }

    /// Waits while the server stands still.
    pub(crate) async fn wait_unpaused(&self) {
        while self.is_paused() {
            tokio::time::sleep(SWITCH_POLL).await;
        }
    }

    /// Tells whether the server does not announce itself.
    pub(crate) fn is_silent(&self) -> bool {
        let state = self.state.lock();
        state.silent || state.paused
    }

    /// Tells whether the server leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state.lock().leaving
    }

    /// Returns the delay before every call.
    pub(crate) fn delay(&self) -> time::Duration {
        self.state.lock().delay
    }

    /// Uses up the crash of the next load.
    pub(crate) fn take_crash(&self) -> bool {
        take_one(&mut self.state.lock().crashes)
    }

    /// Returns after how many tokens of the answer to this prompt the server crashes, if it does.
    pub(crate) fn crash_after(&self, prompt: &str) -> Option<u64> {
        let state = self.state.lock();
        let (deadly, after_tokens) = state.deadly_prompt.as_ref()?;
        prompt.contains(deadly).then_some(*after_tokens)
    }

    /// Uses up one error in place of the rest of an answer.
    pub(crate) fn take_refused_rest(&self) -> bool {
        take_one(&mut self.state.lock().refused_rests)
    }

    /// Tells whether answers say that the server leaves.
    pub(crate) fn says_leaving(&self) -> bool {
        self.state.lock().statements.leaving
    }

    /// Returns the pause in seconds that the server asks for as it refuses a call.
    pub(crate) fn wanted_pause(&self) -> Option<u64> {
        self.state.lock().statements.pause_s
    }

    /// Uses up one wrong request id.
    pub(crate) fn take_wrong_request_id(&self) -> bool {
        take_one(&mut self.state.lock().wrong_request_ids)
    }

    /// Uses up one cut and returns the tokens before it.
    pub(crate) fn take_cut(&self) -> Option<u64> {
        self.state.lock().cuts.take()
    }

    /// Uses up one stall and returns the tokens before it.
    pub(crate) fn take_stall(&self) -> Option<u64> {
        self.state.lock().stalls.take()
    }

    /// Uses up one lost cache event.
    pub(crate) fn take_dropped_cache_event(&self) -> bool {
        take_one(&mut self.state.lock().dropped_cache_events)
    }

    /// Uses up one reset before the body.
    pub(crate) fn take_reset_before_body(&self) -> bool {
        take_one(&mut self.state.lock().resets_before_body)
    }

    /// Uses up one reset in the middle of the body.
    pub(crate) fn take_reset_during_body(&self) -> bool {
        take_one(&mut self.state.lock().resets_during_body)
    }

    /// Uses up one reset after the body.
    pub(crate) fn take_reset_after_body(&self) -> bool {
        take_one(&mut self.state.lock().resets_after_body)
    }

    /// Uses up one run without an answer.
    pub(crate) fn take_run_without_answer(&self) -> bool {
        take_one(&mut self.state.lock().runs_without_answer)
    }

    /// Uses up one run with a reset.
    pub(crate) fn take_run_then_reset(&self) -> bool {
        take_one(&mut self.state.lock().runs_then_reset)
    }

    /// Uses up one refusal.
    pub(crate) fn take_refusal(&self) -> bool {
        take_one(&mut self.state.lock().refusals)
    }
}
