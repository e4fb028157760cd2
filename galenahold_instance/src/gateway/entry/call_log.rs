//! The log line of a request.

use std::time;

use galenahold_domain::name;
use galenahold_routing::fleet;

/// The inputs and outcome of a request, logged when it ends.
#[derive(Debug, Default)]
pub(super) struct CallLog {
    /// The caller's id for this attempt.
    pub(super) id: String,
    /// The route that took the request.
    pub(super) route: Option<name::RouteName>,
    /// The time within which the route's answers should begin.
    pub(super) objective: time::Duration,
    /// The longest pause that the route allows between events; zero if it states none.
    pub(super) event_gap: time::Duration,
    /// The rank of the request among all of its service; zero is the most urgent.
    pub(super) rank: u32,
    /// The team whose key the caller sent.
    pub(super) team: Option<name::TeamName>,
    /// The requested model, with its adapter.
    pub(super) model: String,
    /// The tokens charged to the team.
    pub(super) tokens: u64,
    /// How long the request waited for its team's tokens.
    pub(super) token_wait: time::Duration,
    /// The time after which the caller of a request without tokens was told to retry.
    pub(super) retry_after: Option<time::Duration>,
    /// The server of the last attempt.
    pub(super) server: Option<name::ServerName>,
    /// What the selection of that server was based on.
    pub(super) basis: Option<fleet::ChoiceBasis>,
    /// How many times the request was sent.
    pub(super) sends: u32,
    /// The number of the declaration that was applied.
    pub(super) declaration: u64,
    /// The age of the configuration's last confirmation.
    pub(super) confirmed_ago: time::Duration,
    /// Total wait for the first configuration and for places.
    pub(super) waited: time::Duration,
    /// Why attempts ended, in order.
    pub(super) notes: Vec<&'static str>,
}

impl CallLog {
    /// Adds a note that can occur repeatedly, unless it is already present.
    pub(super) fn note_once(&mut self, note: &'static str) {
        if !self.notes.contains(&note) {
            self.notes.push(note);
        }
    }

    /// Writes the log line of the ended request.
    pub(super) fn write(&self, status: u16, reason: &str, took: time::Duration) {
        let basis = self.basis.as_ref();
        log::info!(
            request = self.id.as_str(),
            route = self.route.as_deref().unwrap_or("-"),
            objective_ms = millis(self.objective),
            gap_ms = millis(self.event_gap),
            rank = self.rank,
            team = self.team.as_deref().unwrap_or("-"),
            model = self.model.as_str(),
            tokens = self.tokens,
            token_wait_ms = millis(self.token_wait),
            retry_after_ms = self.retry_after.map_or(0, millis),
            server = self.server.as_deref().unwrap_or("-"),
            fit = basis.map_or("-", |basis| basis.fit.as_str()),
            server_running = basis.map_or(0, |basis| basis.running),
            server_unread = basis.map_or(0, |basis| basis.unread_tokens),
            view_age_ms = known_millis(basis.and_then(|basis| basis.view_age)),
            predicted_first_ms = known_millis(basis.and_then(|basis| basis.first)),
            predicted_ms = known_millis(basis.and_then(|basis| basis.total)),
            sends = self.sends,
            declaration = self.declaration,
            confirmed_ms = millis(self.confirmed_ago),
            waited_ms = millis(self.waited),
            took_ms = millis(took),
            status = status,
            reason = reason,
            notes = self.notes.join(",").as_str();
            "request ended"
        );
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds of a duration, or -1 if it is unknown.
fn known_millis(duration: Option<time::Duration>) -> i64 {
    duration.map_or(-1, |duration| {
        i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
    })
}
