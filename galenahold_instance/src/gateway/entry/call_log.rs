//! One line for each request.

use std::time;

use galenahold_domain::name;

/// What is logged of a request at its end: the inputs of its decisions and its outcome.
#[derive(Debug, Default)]
pub(super) struct CallLog {
    /// Names the caller's attempt.
    pub(super) id: String,
    /// The route.
    pub(super) route: Option<name::RouteName>,
    /// The team.
    pub(super) team: Option<name::TeamName>,
    /// The model, and its adapter.
    pub(super) model: String,
    /// The tokens that the team was charged for it.
    pub(super) tokens: u64,
    /// The server that was tried last.
    pub(super) server: Option<name::ServerName>,
    /// How many times it was sent.
    pub(super) sends: u32,
    /// The number of the declaration by which it was served.
    pub(super) declaration: u64,
    /// How long ago that was confirmed.
    pub(super) confirmed_ago: time::Duration,
    /// How long it waited for the first configuration and for places.
    pub(super) waited: time::Duration,
    /// Why its attempts ended, the latest last.
    pub(super) notes: Vec<&'static str>,
}

impl CallLog {
    /// Notes what may come many times in one request.
    pub(super) fn note_once(&mut self, note: &'static str) {
        if !self.notes.contains(&note) {
            self.notes.push(note);
        }
    }

    /// Writes the line.
    pub(super) fn write(&self, status: u16, reason: &str, took: time::Duration) {
        log::info!(
            request = self.id.as_str(),
            route = self.route.as_deref().unwrap_or("-"),
            team = self.team.as_deref().unwrap_or("-"),
            model = self.model.as_str(),
            tokens = self.tokens,
            server = self.server.as_deref().unwrap_or("-"),
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
