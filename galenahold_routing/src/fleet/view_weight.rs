//! How much a view of other instances' calls counts at its age.

use std::time;

use crate::fleet;

/// Up to this age a view counts in full: it is this late in ordinary operation.
const FULL_AGE: time::Duration = time::Duration::from_secs(1);

/// At this age a view counts half.
const HALF_AGE: time::Duration = time::Duration::from_secs(2);

/// From this age on a view counts nothing: most calls of that time have ended.
const END_AGE: time::Duration = time::Duration::from_secs(6);

/// The weight of a view of other instances' calls, between zero and one.
///
/// Without a new view the calls that it counted end one by one. The weight falls to a half after 2 s and to
/// zero after 6 s, so that an instance that lost its leader does not leave servers idle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ViewWeight(f64);

impl ViewWeight {
    /// Returns the weight of a view of the given age; zero if there is none.
    pub(super) fn at_age(age: Option<time::Duration>) -> Self {
        let Some(age) = age else {
            return Self(0.0);
        };
        let fall = |from: time::Duration, to: time::Duration| {
            (age.saturating_sub(from).as_secs_f64() / to.saturating_sub(from).as_secs_f64())
                .min(1.0)
        };
        Self(1.0 - 0.5 * fall(FULL_AGE, HALF_AGE) - 0.5 * fall(HALF_AGE, END_AGE))
    }

    /// Returns whether the view is so old that it is no longer being replaced.
    pub(super) fn is_stale(self) -> bool {
        self.0 <= 0.5
    }

    pub(super) fn is_zero(self) -> bool {
        self.0 <= 0.0
    }

    /// Returns what is left of an amount that a view of this weight stated.
    pub(super) fn of(self, uses: fleet::CallUse) -> fleet::CallUse {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the weight is between zero and one"
        )]
        let scaled = |amount: u32| (f64::from(amount) * self.0).round() as u32;
        fleet::CallUse {
            running: scaled(uses.running),
            unread_tokens: scaled(uses.unread_tokens),
            cache_tokens: scaled(uses.cache_tokens),
        }
    }
}
