//! Lends tokens to instances while this one leads.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_routing::rate;

/// Lends tokens to instances while this one leads.
#[derive(Debug)]
pub(crate) struct GrantHandler {
    settings: rate::LedgerSettings,
    ledger: sync::Mutex<Option<TermLedger>>,
}

/// The teams that may be lent tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActiveTeams<'a> {
    /// The revision of the configuration that names them.
    pub(crate) revision: amount::RevisionNumber,
    /// The teams.
    pub(crate) teams: &'a [intent::TeamIntent],
}

#[derive(Debug)]
struct TermLedger {
    term: u64,
    revision: amount::RevisionNumber,
    ledger: rate::GrantLedger,
}

impl GrantHandler {
    /// Creates a desk that lends nothing yet.
    pub(crate) fn new(settings: rate::LedgerSettings) -> Self {
        Self {
            settings,
            ledger: sync::Mutex::new(None),
        }
    }

    /// Begins the ledger of a leadership, unless it has begun.
    pub(crate) fn begin(&self, term: u64, teams: ActiveTeams<'_>) {
        let mut ledger = self.lock();
        self.current_ledger(&mut ledger, term, teams);
    }

    /// Answers a call of an instance in the given term.
    pub(crate) fn grant(
        &self,
        term: u64,
        teams: ActiveTeams<'_>,
        call: &rate::GrantCall,
    ) -> rate::GrantReply {
        let mut ledger = self.lock();
        self.current_ledger(&mut ledger, term, teams)
            .grant(call, time::Instant::now())
    }

    /// Returns the ledger of `term` with the teams of the configuration in force.
    fn current_ledger<'a>(
        &self,
        held: &'a mut Option<TermLedger>,
        term: u64,
        teams: ActiveTeams<'_>,
    ) -> &'a mut rate::GrantLedger {
        let now = time::Instant::now();
        // A ledger of another term does not know what was lent since.
        let same_term = held.take().filter(|ledger| ledger.term == term);
        let current = held.insert(same_term.unwrap_or_else(|| TermLedger {
            term,
            revision: amount::RevisionNumber::ZERO,
            ledger: rate::GrantLedger::new(term, self.settings.clone(), now),
        }));
        if current.revision != teams.revision {
            current.ledger.set_teams(teams.teams, now);
            current.revision = teams.revision;
        }
        &mut current.ledger
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<TermLedger>> {
        self.ledger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
