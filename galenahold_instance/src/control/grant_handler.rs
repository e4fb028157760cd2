//! Handles token grants at the leader, with a ledger for each term.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_routing::rate;
use log::info;

/// Grants tokens to instances while this instance is the leader.
#[derive(Debug)]
pub(crate) struct GrantHandler {
    settings: rate::LedgerSettings,
    ledger: sync::Mutex<Option<TermLedger>>,
}

/// The teams to which tokens may be granted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActiveTeams<'a> {
    /// The revision of the configuration that defines the teams.
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
    /// Creates a handler without a ledger.
    pub(crate) fn new(settings: rate::LedgerSettings) -> Self {
        Self {
            settings,
            ledger: sync::Mutex::new(None),
        }
    }

    /// Creates the ledger of a term, unless it exists.
    pub(crate) fn begin(&self, term: u64, teams: ActiveTeams<'_>) {
        let mut ledger = self.lock();
        self.current_ledger(&mut ledger, term, teams);
    }

    /// Grants tokens to an instance in the given term.
    pub(crate) fn grant(
        &self,
        term: u64,
        teams: ActiveTeams<'_>,
        call: &rate::GrantCall,
    ) -> rate::GrantReply {
        let mut held = self.lock();
        let ledger = self.current_ledger(&mut held, term, teams);
        let reply = ledger.grant(call, time::Instant::now());
        let changes = ledger.take_changes();
        drop(held);
        changes.iter().for_each(log_change);
        reply
    }

    /// Returns the ledger of `term`, updated to the active teams.
    fn current_ledger<'a>(
        &self,
        held: &'a mut Option<TermLedger>,
        term: u64,
        teams: ActiveTeams<'_>,
    ) -> &'a mut rate::GrantLedger {
        let now = time::Instant::now();
        // The ledger of another term lacks the grants made since then.
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

fn log_change(change: &rate::LimitChange) {
    info!(
        team:% = change.team,
        exceeded = change.is_exceeded,
        asked_per_s = change.asked_per_s,
        level = change.level.0,
        waiting = change.waiting;
        "requests of a team against its limit"
    );
}
