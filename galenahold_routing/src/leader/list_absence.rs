//! How long a member has been missing in the leader's list of members.

use std::time;

/// The absence of a member from the leader's list of members, as the leader confirms it.
///
/// A leader sends the list when it changes, and confirms it with each later reply. The time without a
/// reply does not count: the list may have changed meanwhile.
#[derive(Debug, Default)]
pub struct ListAbsence {
    span: Option<AbsenceSpan>,
}

/// The time from the first list without the member to its last confirmation.
#[derive(Debug, Clone, Copy)]
struct AbsenceSpan {
    began_at: time::Instant,
    confirmed_at: time::Instant,
}

impl ListAbsence {
    /// Records a list from the leader; returns whether the member's absence has begun or ended.
    pub fn record_list(&mut self, is_listed: bool, now: time::Instant) -> bool {
        let was_absent = self.span.is_some();
        if is_listed {
            self.span = None;
        } else {
            self.span.get_or_insert(AbsenceSpan {
                began_at: now,
                confirmed_at: now,
            });
        }
        was_absent == is_listed
    }

    /// Records a reply of the leader by which its last list is still valid.
    pub fn record_confirmation(&mut self, now: time::Instant) {
        if let Some(span) = &mut self.span {
            span.confirmed_at = now;
        }
    }

    /// Returns for how long the leader has confirmed that the member is not in its list.
    #[must_use]
    pub fn confirmed_for(&self) -> time::Duration {
        self.span.map_or(time::Duration::ZERO, |span| {
            span.confirmed_at.saturating_duration_since(span.began_at)
        })
    }
}
