//! Continuous batching.

use std::sync;
use std::time;

use super::engine_core::EngineCore;
use super::sequence::Sequence;
use crate::ledger;

/// Pause between looks at the switch of a paused engine.
const PAUSE_POLL: time::Duration = time::Duration::from_millis(5);

/// Advances all running requests by one token a step.
#[derive(Debug)]
pub(crate) struct BatchLoop {
    core: sync::Arc<EngineCore>,
    next_step: time::Instant,
}

impl BatchLoop {
    /// Makes the loop of an engine.
    pub(crate) fn new(core: sync::Arc<EngineCore>) -> Self {
        Self {
            core,
            next_step: time::Instant::now(),
        }
    }

    /// Runs until the engine ends.
    pub(crate) async fn run(mut self) {
        loop {
            self.drop_cancelled();
            if self.core.controls.is_paused() {
                tokio::time::sleep(PAUSE_POLL).await;
                continue;
            }
            let running = self.fill_batch();
            if running == 0 {
                self.core.batch.wait_arrival().await;
                continue;
            }
            let now = time::Instant::now();
            self.next_step = self.next_step.max(now) + self.core.settings.timings.step(running);
            tokio::time::sleep_until(self.next_step.into()).await;
            self.step();
        }
    }

    /// Ends the requests whose callers have gone.
    fn drop_cancelled(&self) {
        let cancelled = self.core.batch.state.lock().take_cancelled();
        for sequence in cancelled {
            self.end(&sequence, ledger::RequestOutcome::Cancelled);
        }
    }

    /// Takes waiting requests into the batch and returns its size.
    fn fill_batch(&self) -> usize {
        let mut state = self.core.batch.state.lock();
        while state.running.len() < self.core.settings.max_batch {
            let Some(mut sequence) = state.pop_waiting() else {
                break;
            };
            let prefill = self.core.prefill_time(&sequence);
            sequence.prefilled_at = Some(time::Instant::now() + prefill);
            state.running.push(sequence);
        }
        state.running.len()
    }

    /// Computes one token of each request whose prefill is done.
    fn step(&self) {
        let now = time::Instant::now();
        let finished: Vec<_> = {
            let mut state = self.core.batch.state.lock();
            state
                .running
                .extract_if(.., |sequence| self.advance(sequence, now))
                .collect()
        };
        for sequence in finished {
            self.end(&sequence, ledger::RequestOutcome::Finished);
        }
    }

    /// Computes one token; tells whether it was the last.
    fn advance(&self, sequence: &mut Sequence, now: time::Instant) -> bool {
        let prefilled = sequence.prefilled_at.is_some_and(|at| at <= now);
        let stalled = sequence.stall_at.is_some_and(|at| sequence.next >= at);
        if prefilled && sequence.crash_at.is_some_and(|at| sequence.next >= at) {
            self.core.crash();
            return false;
        }
        if !prefilled || stalled || sequence.tokens.send(()).is_err() {
            return false;
        }
        sequence.next += 1;
        self.core
            .ledger
            .amend(sequence.key, |record| record.output_tokens += 1);
        sequence.next >= sequence.end
    }

    /// Records the end of a request.
    fn end(&self, sequence: &Sequence, outcome: ledger::RequestOutcome) {
        self.core.ledger.ended(sequence.key, outcome);
        self.core.models.lock().end_request(&sequence.model);
    }
}
