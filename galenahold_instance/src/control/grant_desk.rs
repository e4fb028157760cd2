//! Lends tokens to instances while this one leads.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control as domain;
use galenahold_routing::rate;

use crate::control as group;

/// Lends tokens to instances while this one leads.
#[derive(Debug)]
pub(crate) struct GrantDesk {
    settings: rate::LedgerSettings,
    ledger: sync::Mutex<Option<TermLedger>>,
}

#[derive(Debug)]
struct TermLedger {
    term: u64,
    revision: amount::RevisionNumber,
    ledger: rate::GrantLedger,
}

impl GrantDesk {
    /// Creates a desk that lends nothing yet.
    pub(crate) fn new(settings: rate::LedgerSettings) -> Self {
        Self {
            settings,
            ledger: sync::Mutex::new(None),
        }
    }

    /// Begins the ledger of a leadership, unless it has begun.
    pub(crate) fn begin(&self, term: u64, state: &group::SharedState) {
        let mut ledger = self.lock();
        self.current(&mut ledger, term, state);
    }

    /// Answers a call of an instance in the given term.
    pub(crate) fn grant(
        &self,
        term: u64,
        state: &group::SharedState,
        call: &rate::GrantCall,
    ) -> rate::GrantReply {
        let mut ledger = self.lock();
        self.current(&mut ledger, term, state)
            .grant(call, time::Instant::now())
    }

    /// Returns the ledger of `term` with the teams of the configuration in force.
    fn current<'a>(
        &self,
        held: &'a mut Option<TermLedger>,
        term: u64,
        state: &group::SharedState,
    ) -> &'a mut rate::GrantLedger {
        let now = time::Instant::now();
        // A ledger of another term does not know what was lent since.
        let kept = held.take().filter(|ledger| ledger.term == term);
        let current = held.insert(kept.unwrap_or_else(|| TermLedger {
            term,
            revision: amount::RevisionNumber::ZERO,
            ledger: rate::GrantLedger::new(term, self.settings.clone(), now),
        }));
        let view = state.read(domain::ControlState::view);
        if current.revision != view.revision {
            current.ledger.set_teams(&view.intent.teams, now);
            current.revision = view.revision;
        }
        &mut current.ledger
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<TermLedger>> {
        self.ledger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
